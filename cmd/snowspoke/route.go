package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/snowspoke/snowspoke/forward"
	"github.com/snowspoke/snowspoke/gateway"
	"github.com/snowspoke/snowspoke/internal/readall"
)

// keyVariable is the environment variable with a caller's key. There is no flag for the key, since
// the arguments of a process are visible to others.
const keyVariable = "SNOWSPOKE_KEY"

type routeCmd struct {
	Method  string   `arg:"" optional:"" help:"Method of the request."`
	Host    string   `arg:"" optional:"" help:"Host of the request."`
	Path    string   `arg:"" optional:"" help:"Path of the request, with its query."`
	Metrics string   `help:"Metrics address of a daemon on the users' platform, IP:PORT; only on the daemon's own VM." required:"" env:"SNOWSPOKE_METRICS" placeholder:"IP:PORT"`
	KeyFile string   `help:"File with the caller's key; by default the key is in the environment variable SNOWSPOKE_KEY." placeholder:"FILE"`
	Header  []string `help:"Header of the request, may be repeated." sep:"none" placeholder:"NAME: VALUE"`
	File    string   `help:"File with the whole request in the form of HTTP/1.1, - for standard input, instead of METHOD HOST PATH." placeholder:"FILE"`
}

// Run explains where a daemon would send a request now.
func (k *routeCmd) Run(c *cli) error {
	message, err := k.message()
	if err != nil {
		return err
	}
	if err := checkLocal(k.Metrics); err != nil {
		return err
	}
	data, err := explainRoute(k.Metrics, message)
	if err != nil {
		return err
	}
	var x gateway.RouteExplanation
	if err := json.Unmarshal(data, &x); err != nil {
		return fmt.Errorf("answer of %s: %w", k.Metrics, err)
	}
	return c.print(x, func(w io.Writer) { writeRoute(w, &x) })
}

// message returns the request in the form of HTTP/1.1.
func (k *routeCmd) message() ([]byte, error) {
	fields, err := k.fields()
	if err != nil {
		return nil, err
	}
	if k.File != "" {
		if k.Method != "" {
			return nil, fmt.Errorf("%w: give either METHOD HOST PATH or --file", errUsage)
		}
		data, err := readFile(k.File)
		if err != nil {
			return nil, err
		}
		line, rest, ok := bytes.Cut(data, []byte("\n"))
		if !ok {
			return nil, fmt.Errorf("%w: %s does not hold a request", errInvalid, k.File)
		}
		// The daemon reads the first of several headers with the same name.
		return slices.Concat(line, []byte("\n"), fields, rest), nil
	}
	if k.Path == "" {
		return nil, fmt.Errorf("%w: give METHOD HOST PATH, or --file FILE", errUsage)
	}
	for _, part := range []string{k.Method, k.Host, k.Path} {
		if part == "" || strings.ContainsFunc(part, isSpaceOrControl) {
			return nil, fmt.Errorf("%w: %q is empty or has spaces", errUsage, part)
		}
	}
	if !strings.HasPrefix(k.Path, "/") {
		return nil, fmt.Errorf("%w: path %q does not begin with a slash", errUsage, k.Path)
	}
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", k.Method, k.Path, k.Host, fields), nil
}

// fields returns the header lines of the arguments and the key.
func (k *routeCmd) fields() ([]byte, error) {
	var out []byte
	for _, h := range k.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok || name == "" || strings.ContainsFunc(name, isSpaceOrControl) || strings.ContainsAny(value, "\r\n\x00") {
			return nil, fmt.Errorf("%w: a header is NAME: VALUE in one line", errUsage)
		}
		if strings.EqualFold(name, "Authorization") {
			return nil, fmt.Errorf("%w: give the key by --key-file or %s, arguments are visible to others", errUsage, keyVariable)
		}
		out = fmt.Appendf(out, "%s: %s\r\n", name, strings.TrimSpace(value))
	}
	key, err := k.key()
	if err != nil || key == "" {
		return out, err
	}
	return fmt.Appendf(out, "Authorization: Bearer %s\r\n", key), nil
}

// key returns the caller's key, "" for none. A request in a file has the key of the file unless
// another one is given by --key-file.
func (k *routeCmd) key() (string, error) {
	key, from := os.Getenv(keyVariable), keyVariable
	if k.File != "" {
		key = ""
	}
	if k.KeyFile != "" {
		data, err := readFile(k.KeyFile)
		if err != nil {
			return "", err
		}
		key, from = string(data), k.KeyFile
		if strings.TrimSpace(key) == "" {
			return "", fmt.Errorf("%w: %s holds no key", errUsage, from)
		}
	}
	key = strings.TrimSpace(key)
	if strings.ContainsFunc(key, isSpaceOrControl) {
		return "", fmt.Errorf("%w: %s holds more than a key", errUsage, from)
	}
	return key, nil
}

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

// readFile reads a file, or standard input for -.
func readFile(name string) ([]byte, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errUsage, err)
	}
	return data, nil
}

// checkLocal returns an error if an address is not of this VM. A daemon refuses to explain routes to
// others, and the request with its key would cross the network in clear text.
func checkLocal(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%w: %v", errUsage, err)
	}
	ip := net.ParseIP(host)
	if host == "localhost" || ip != nil && ip.IsLoopback() {
		return nil
	}
	own, err := net.InterfaceAddrs()
	if err != nil {
		return err
	}
	if ip == nil || !slices.ContainsFunc(own, func(a net.Addr) bool { n, ok := a.(*net.IPNet); return ok && n.IP.Equal(ip) }) {
		return fmt.Errorf("%w: %s is no address of this VM, and a daemon explains routes only on its own VM", errUsage, host)
	}
	return nil
}

// explainRoute asks a daemon about a request and returns the answer.
func explainRoute(address string, message []byte) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+gateway.ExplainPath, bytes.NewReader(message))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errUsage, err)
	}
	req.Header.Set("Content-Type", gateway.RequestContentType)
	// A proxy of the environment must not get the key.
	client := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", errUnavailable, address, err)
	}
	defer resp.Body.Close()
	data, err := readall.AtMost(resp.Body, maxOutputBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", errUnavailable, address, err)
	}
	text := strings.TrimSpace(string(data))
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, fmt.Errorf("%w: %s", errNotFound, text)
	case http.StatusBadRequest:
		return nil, fmt.Errorf("%w: %s", errInvalid, text)
	case http.StatusServiceUnavailable:
		return nil, fmt.Errorf("%w: %s", errUnavailable, text)
	default:
		return nil, fmt.Errorf("%w: %s: %s", errRefused, resp.Status, text)
	}
	if t, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type")); err != nil || t != "application/json" {
		return nil, fmt.Errorf("%w: %s is no metrics address of a daemon that explains routes", errUnavailable, address)
	}
	return data, nil
}

// writeRoute writes an explanation as a table.
func writeRoute(w io.Writer, x *gateway.RouteExplanation) {
	fmt.Fprintf(w, "daemon\t%s, configuration %d read %s ago, %s\n", x.Daemon, x.Config, duration(x.ConfigAgeMS), loadsAge(x.Explanation))
	fmt.Fprintf(w, "request\troute %s, service %s, workspace %s\n", x.Route, x.Service, orDash(x.Workspace))
	fmt.Fprintf(w, "urgency\tpriority %d, class %d, objective %s\n", x.Priority, x.Class, duration(x.ObjectiveMS))
	if x.Prompt > 0 || x.Answer > 0 {
		fmt.Fprintf(w, "tokens\tprompt %.0f, expected answer %.0f\n", x.Prompt, x.Answer)
	}
	if s := x.Shedding; s != nil {
		fmt.Fprintf(w, "shedding\t%.0f%% of class %d admitted, of the workspace %.2f times that; the class has %.0f%% of the demand, %.0f%% of the capacity is in use\n",
			100*s.Fraction, x.Class, s.Share, percentOf(s.Demand, s.TotalDemand), percentOf(s.InUse, s.Capacity))
	}
	fmt.Fprintf(w, "result\t%s\n", resultOf(x.Explanation))
	if x.Path != nil || len(x.Next) > 0 {
		fmt.Fprintln(w, "\nTAKEN\tFIRST EVENT\tSTEP\tFULLEST\tPATH\tREASON")
	}
	if x.Path != nil {
		writePath(w, "yes", x.Path)
	}
	for i := range x.Next {
		writePath(w, "no", &x.Next[i])
	}
	writeExcluded(w, x.Excluded)
	for _, n := range x.Notes {
		fmt.Fprintf(w, "\nnote: %s", n)
	}
	if len(x.Notes) > 0 {
		fmt.Fprintln(w)
	}
}

// resultOf returns what would happen to the request.
func resultOf(x *forward.Explanation) string {
	held := ""
	if !x.HeldUntil.IsZero() {
		held = fmt.Sprintf("held until %s for %s, then ", x.HeldUntil.Format(time.RFC3339Nano), x.HeldFor)
	}
	if x.Refusal == nil {
		return held + "sent, path selected by " + string(x.Selection)
	}
	if held != "" {
		held += "sent if there is a path, or "
	}
	after := ""
	if x.Refusal.RetryAfterMS > 0 {
		after = ", Retry-After " + duration(x.Refusal.RetryAfterMS)
	}
	return fmt.Sprintf("%srefused: %s (%d)%s, %s", held, x.Refusal.Kind, x.Refusal.Status, after, x.Refusal.Detail)
}

func loadsAge(x *forward.Explanation) string {
	if !x.LoadsKnown {
		return "loads of other daemons unknown"
	}
	return fmt.Sprintf("loads of other daemons %s old", duration(x.LoadsAgeMS))
}

func writePath(w io.Writer, taken string, p *forward.ExplainedPath) {
	first, step, fullest := "-", "-", "-"
	if p.FirstMS > 0 {
		first, step, fullest = fmt.Sprintf("%.1f ms", p.FirstMS), fmt.Sprintf("%.1f ms", p.StepMS), fmt.Sprintf("%.0f%%", 100*p.Fullest)
	}
	var hops []string
	for _, h := range p.Hops {
		text := h.Server
		if h.To > h.From {
			text += fmt.Sprintf("=%d-%d", h.From, h.To)
		}
		hops = append(hops, text)
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", taken, first, step, fullest, strings.Join(hops, ","), p.Reason)
}

// maxExcludedNames is the maximum number of backend servers that are named for one reason.
const maxExcludedNames = 5

// writeExcluded writes the excluded backend servers by reason.
func writeExcluded(w io.Writer, excluded []forward.Excluded) {
	byReason, reasons := map[string][]string{}, []string{}
	for _, e := range excluded {
		if byReason[e.Reason] == nil {
			reasons = append(reasons, e.Reason)
		}
		name := e.Server
		if !e.Until.IsZero() {
			name += " until " + e.Until.Format(time.RFC3339)
		}
		byReason[e.Reason] = append(byReason[e.Reason], name)
	}
	if len(reasons) > 0 {
		fmt.Fprintln(w, "\nEXCLUDED\tREASON\tBACKEND SERVERS")
	}
	for _, reason := range reasons {
		names := byReason[reason]
		listed := strings.Join(names[:min(len(names), maxExcludedNames)], ", ")
		if len(names) > maxExcludedNames {
			listed += ", ..."
		}
		fmt.Fprintf(w, "%d\t%s\t%s\n", len(names), reason, listed)
	}
}

// duration formats a number of milliseconds.
func duration(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond).String()
}

// percentOf returns part as a percentage of whole, 0 if that is 0.
func percentOf(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return 100 * part / whole
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
