package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/snowspoke/snowspoke/catalog"
	"github.com/snowspoke/snowspoke/config"
	"github.com/snowspoke/snowspoke/edit"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// parseKind parses a kind, ignoring case.
func parseKind(text string) (topology.Kind, error) {
	for _, k := range topology.ConfigKinds {
		if strings.EqualFold(string(k), text) {
			return k, nil
		}
	}
	return "", fmt.Errorf("%w: kind %q is not one of %v", errUsage, text, topology.ConfigKinds)
}

type getCmd struct {
	Kind string `arg:"" help:"Kind, such as BackendServer or Workspace."`
	Name string `arg:"" optional:"" help:"Name; all objects of the kind when left out."`
}

// Run prints objects.
func (g *getCmd) Run(c *cli) error {
	kind, err := parseKind(g.Kind)
	if err != nil {
		return err
	}
	s, err := c.store()
	if err != nil {
		return err
	}
	var objects []store.Object
	if g.Name == "" {
		objects, _, err = s.List(context.Background(), string(kind))
	} else {
		var o store.Object
		o, err = s.Get(context.Background(), string(kind), g.Name)
		objects = []store.Object{o}
	}
	if err != nil {
		return err
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return c.print(viewsOf(objects), func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tVERSION\tSPEC")
		for _, o := range objects {
			fmt.Fprintf(w, "%s\t%d\t%s\n", o.Name, o.Version, o.Spec)
		}
	})
}

// objectView is an object whose spec is printed as raw JSON.
type objectView struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version store.Position  `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

func viewsOf(objects []store.Object) []objectView {
	out := make([]objectView, len(objects))
	for i, o := range objects {
		out[i] = objectView{o.Kind, o.Name, o.Version, o.Spec}
	}
	return out
}

type labelCmd struct {
	Kind  string `arg:"" help:"Kind: BackendServer, Stage, Workspace or Service."`
	Name  string `arg:"" help:"Name of the object."`
	Label string `arg:"" help:"KEY=VALUE to set, KEY- to remove."`
}

// Run sets or removes one label.
func (l *labelCmd) Run(c *cli) error {
	key, value, set := strings.Cut(l.Label, "=")
	if !set {
		var remove bool
		if key, remove = strings.CutSuffix(l.Label, "-"); !remove {
			return fmt.Errorf("%w: label %q: write KEY=VALUE or KEY-", errUsage, l.Label)
		}
	}
	return c.edit(l.Kind, l.Name, edit.Label{Key: key}, value)
}

type selectorCmd struct {
	Kind  string `arg:"" help:"Kind: Stage or RoutingRule."`
	Name  string `arg:"" help:"Name of the object."`
	Field string `arg:"" help:"workspaces, requests, stages or backendServers."`
	Value string `arg:"" help:"Selector in the Kubernetes syntax, such as 'team=night,accelerator in (h100,a100)'; '' selects everything."`
}

// Run sets one selector.
func (s *selectorCmd) Run(c *cli) error {
	return c.edit(s.Kind, s.Name, edit.Selector{Name: s.Field}, s.Value)
}

type drainCmd struct {
	Name string `arg:"" help:"Name of the backend server."`
	Undo bool   `help:"Put it back into service."`
}

// Run sets or removes the drain label.
func (d *drainCmd) Run(c *cli) error {
	value := "true"
	if d.Undo {
		value = ""
	}
	return c.edit(string(topology.KindBackendServer), d.Name, edit.Label{Key: topology.LabelDrain}, value)
}

// edit sets one field of an object and prints the result.
func (c *cli) edit(kindText, name string, f edit.Field, value string) error {
	kind, err := parseKind(kindText)
	if err != nil {
		return err
	}
	s, err := c.store()
	if err != nil {
		return err
	}
	r, err := edit.Apply(context.Background(), s, kind, name, f, value)
	if err != nil {
		return err
	}
	return c.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "%s %s: version %d, %q -> %q\n", kind, name, r.Version, r.Before, r.After)
	})
}

type waitCmd struct {
	Kind    string        `arg:"" help:"Kind of the object."`
	Name    string        `arg:"" help:"Name of the object."`
	Timeout time.Duration `help:"How long to wait." default:"10s"`
}

// waitInterval is the interval at which wait polls the daemons.
const waitInterval = 200 * time.Millisecond

// Run waits until the newest version of an object is in force on all daemons.
func (w *waitCmd) Run(c *cli) error {
	kind, err := parseKind(w.Kind)
	if err != nil {
		return err
	}
	s, err := c.store()
	if err != nil {
		return err
	}
	o, err := s.Get(context.Background(), string(kind), w.Name)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(w.Timeout)
	for {
		lagging, err := c.lagging(kind, w.Name, o.Version)
		if err != nil {
			return err
		}
		if len(lagging) == 0 {
			fmt.Printf("%s %s: version %d is in force on all daemons\n", kind, w.Name, o.Version)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: version %d of %s %s: %s", errNotInForce, o.Version, kind, w.Name, strings.Join(lagging, "; "))
		}
		time.Sleep(waitInterval)
	}
}

// lagging returns the daemons that do not yet have a version in force, each with
// the reason. It fails if a daemon has rejected the version.
func (c *cli) lagging(kind topology.Kind, name string, version store.Position) ([]string, error) {
	addresses, err := c.daemonAddresses()
	if err != nil {
		return nil, err
	}
	var out []string
	for daemon, address := range addresses {
		var r catalog.Result
		err := c.getJSON(address, "/v1/verdict/"+escape(string(kind))+"/"+escape(name), &r)
		switch {
		case err != nil:
			out = append(out, daemon+": "+err.Error())
		case r.Seen >= version && !r.Accepted():
			return nil, fmt.Errorf("%w: %s rejects version %d: %s", errInvalid, daemon, r.Seen, r.Rejected)
		case r.InForce < version:
			out = append(out, fmt.Sprintf("%s has version %d", daemon, r.InForce))
		}
	}
	sort.Strings(out)
	return out, nil
}

type checkCmd struct {
	Files []string `arg:"" type:"existingfile" help:"INI files with settings, or JSON files with objects: {\"kind\":..., \"name\":..., \"spec\":{...}}."`
}

// Run checks files and reports all errors at once.
func (k *checkCmd) Run() error {
	var errs []error
	for _, file := range k.Files {
		if err := checkFile(file); err != nil {
			errs = append(errs, fmt.Errorf("%w: %s: %w", errInvalid, file, err))
			continue
		}
		fmt.Printf("%s: fine\n", file)
	}
	return errors.Join(errs...)
}

func checkFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if filepath.Ext(file) == ".ini" {
		_, err := config.Parse(data)
		return err
	}
	var o struct {
		Kind string          `json:"kind"`
		Name string          `json:"name"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return err
	}
	kind, err := parseKind(o.Kind)
	if err != nil {
		return err
	}
	_, err = topology.Parse(kind, o.Name, o.Spec)
	return err
}
