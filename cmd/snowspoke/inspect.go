package main

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/snowspoke/snowspoke/api"
	"github.com/snowspoke/snowspoke/decision"
)

type statusCmd struct {
	Each bool `help:"Ask every daemon and show what each has in force and carries."`
}

// Run prints the fleet as known to one daemon, or the status of each daemon.
func (k *statusCmd) Run(c *cli) error {
	if k.Each {
		return c.printEach()
	}
	s, err := c.anyStatus()
	if err != nil {
		return err
	}
	return c.print(s, func(w io.Writer) {
		fmt.Fprintf(w, "as seen by %s, configuration %d/%s\n\n", s.Daemon, s.Revision, s.Digest)
		fmt.Fprintln(w, "DAEMON\tDOMAIN\tSTATE\tOPERATORS")
		for _, p := range s.Peers {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", p.Name, p.FailureDomain, p.State, p.Operators)
		}
		for _, l := range s.Leases {
			fmt.Fprintf(w, "\nlease %s: held by %s, fencing %d\n", l.Name, l.Holder, l.Fencing)
		}
		writeServers(w, s)
		writeModels(w, s.Models)
		for _, r := range s.Rejected {
			fmt.Fprintf(w, "\nrejected: %s %s version %d, %d stays in force: %s\n", r.Kind, r.Name, r.Seen, r.InForce, r.Rejected)
		}
	})
}

// printEach prints the status of every daemon.
func (c *cli) printEach() error {
	addresses, err := c.daemonAddresses()
	if err != nil {
		return err
	}
	var all []api.Status
	for _, address := range addresses {
		var s api.Status
		if err := c.getJSON(address, "/v1/status", &s); err != nil {
			return err
		}
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Daemon < all[j].Daemon })
	return c.print(all, func(w io.Writer) {
		fmt.Fprintln(w, "DAEMON\tDOMAIN\tREADY\tCONFIGURATION\tRUNNING\tWAITING\tVIOLATIONS")
		for _, s := range all {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d/%s\t%d\t%d\t%d\n", s.Daemon, s.FailureDomain, s.Ready, s.Revision, s.Digest, s.Running, s.Waiting, s.Violations)
		}
	})
}

func writeServers(w io.Writer, s *api.Status) {
	fmt.Fprintln(w, "\nBACKEND SERVER\tDOMAIN\tACCELERATOR\tUSABLE\tLEAVING\tTOKENS/S\tLOAD\tHOLDS")
	for _, b := range s.BackendServers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%.0f\t%.1f\t%v\n", b.Name, b.FailureDomain, b.Accelerator, b.Usable, b.Leaving, b.Capacity, b.Load, b.Holdings)
	}
}

func writeModels(w io.Writer, models []api.ModelStatus) {
	fmt.Fprintln(w, "\nMODEL\tVERSION\tBOUND TOKENS/S\tLIMITED BY")
	for _, m := range models {
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%s\n", m.Model, m.Version, m.Bound, formatCut(&m))
	}
}

// formatCut returns the servers and links that limit a model.
func formatCut(m *api.ModelStatus) string {
	if m.Bound == 0 {
		return "no route holds all layers"
	}
	text := ""
	for i, c := range m.Cut {
		if i > 0 {
			text += ", "
		}
		text += c.BackendServer
		if c.Next != "" {
			text += ">" + c.Next
		}
		text += fmt.Sprintf(" (%.0f)", c.Capacity)
	}
	return text
}

type boundCmd struct {
	Model string `arg:"" optional:"" help:"Model; all when left out."`
}

// Run prints the bound of a model and the cut that limits it.
func (b *boundCmd) Run(c *cli) error {
	s, err := c.anyStatus()
	if err != nil {
		return err
	}
	var models []api.ModelStatus
	for _, m := range s.Models {
		if b.Model == "" || b.Model == m.Model {
			models = append(models, m)
		}
	}
	if len(models) == 0 {
		return fmt.Errorf("%w: model %q", errNotFound, b.Model)
	}
	return c.print(models, func(w io.Writer) { writeModels(w, models) })
}

type explainCmd struct {
	ID string `arg:"" help:"Request ID, or name of a backend server or model."`
}

// Run prints the decisions about an ID from every daemon that has any.
func (e *explainCmd) Run(c *cli) error {
	addresses, err := c.daemonAddresses()
	if err != nil {
		return err
	}
	var all []decision.Record
	for _, address := range addresses {
		var part []decision.Record
		err := c.getJSON(address, "/v1/explain/"+escape(e.ID), &part)
		if err != nil && !errors.Is(err, errNotFound) {
			return err
		}
		all = append(all, part...)
	}
	if len(all) == 0 {
		return fmt.Errorf("%w: no daemon remembers a decision about %q", errNotFound, e.ID)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	return c.print(all, func(w io.Writer) {
		fmt.Fprintln(w, "TIME\tKIND\tATTEMPT\tSUBJECT\tCHOSEN\tREASON\tREJECTED\tBOUND\tLOAD")
		for _, r := range all {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%.0f\t%.1f\n",
				r.Time.Format(time.RFC3339Nano), r.Kind, r.Attempt, r.Subject, r.Chosen, r.Reason, r.Rejected, r.Bound, r.Load)
		}
	})
}
