// Package layout tests the import rules of the module.
package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// rank orders the packages: a package imports only packages of a lower rank. Packages
// without a rank may be imported by all.
var rank = map[string]int{
	"topology": 1, "execution": 1, "availability": 1, "fleet": 2, "catalog": 2,
	"boottime": 1, "stall": 2, "liveness": 3, "quarantine": 3, "routing": 3, "admission": 3, "health": 3, "placement": 3, "claims": 3, "lease": 3, "quota": 3,
	"monitor": 4, "peer": 4, "dispatch": 4,
	"metrics": 5, "api": 5, "control": 5,
	"daemon": 6, "client": 6, "trial": 8, "load": 8, "cmd": 9,
	"site": 1, "inventory": 2, "pipeline": 3, "permit": 4, "relay": 4, "detour": 4, "forward": 5, "placer": 6, "platform": 6, "gateway": 7,
}

// adapters lists, for packages that only translate a wire format, the packages of this
// module that they may import and those that may import them. An adapter imports no
// package that makes routing or placement decisions. Clocks and stall detection are
// allowed, as timeouts are set where calls are made.
var adapters = map[string]struct{ imports, importedBy []string }{
	"platform": {
		imports:    []string{"apierror", "boottime", "execution", "forward", "framing", "internal/readall", "internal/retryafter", "internal/wait", "inventory", "memory", "network", "site", "stall", "store"},
		importedBy: []string{"gateway", "cmd", "platform"},
	},
}

// wireImporters lists, for packages with a wire format, the packages that may import them.
var wireImporters = map[string][]string{
	"backend/httpbackend": {"daemon", "internal/standin", "backend/httpbackend"},
	"store/httpstore":     {"daemon", "cmd", "internal/memstore", "store/httpstore"},
}

const module = "github.com/snowspoke/snowspoke/"

// Imports follow the order of ranks and the lists of allowed importers.
func TestImportOrder(t *testing.T) {
	files := 0
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		require.NoError(t, err)
		from := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../../")
		for _, spec := range f.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			require.NoError(t, err)
			if to, ok := strings.CutPrefix(name, module); ok {
				checkImport(t, from, to)
			}
		}
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, files, 40)
}

func checkImport(t *testing.T, from, to string) {
	top := func(p string) string { return strings.SplitN(p, "/", 2)[0] }
	if rank[top(from)] > 0 && rank[top(to)] > 0 && top(from) != top(to) {
		require.Greater(t, rank[top(from)], rank[top(to)], "%s imports %s", from, to)
	}
	checkAdapter(t, from, to)
	allowed, isWire := wireImporters[to]
	if !isWire {
		return
	}
	for _, a := range allowed {
		if from == a || strings.HasPrefix(from, a+"/") {
			return
		}
	}
	t.Errorf("%s must not import the wire format %s", from, to)
}

// checkAdapter checks an import by or of an adapter.
func checkAdapter(t *testing.T, from, to string) {
	if a, ok := adapters[from]; ok && to != from+"/standin" {
		require.Contains(t, a.imports, to, "%s imports %s", from, to)
	}
	if a, ok := adapters[to]; ok {
		require.Contains(t, a.importedBy, strings.SplitN(from, "/", 2)[0], "%s imports %s", from, to)
	}
}

// platformNames are names of the platform's wire format that only its adapter may use.
var platformNames = []string{"Snowspoke-Server-Seal", "Snowspoke-Hop-Count", "Snowspoke-Not-Run", "Snowspoke-Expect-Instance", "targetVersion", "SNOWSPOKE_BOOT"}

// Only the platform's adapter contains names of the platform's wire format.
func TestPlatformNamesOnlyInAdapter(t *testing.T) {
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if strings.HasPrefix(filepath.ToSlash(path), "../../platform/") {
			return nil
		}
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, name := range platformNames {
			require.NotContains(t, string(text), name, path)
		}
		return nil
	})
	require.NoError(t, err)
}
