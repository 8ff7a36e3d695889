package layout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// unboundedReads lists the functions that read bytes of others without a bound of their own, with
// the files that may call them because the bytes are bounded there, or are this program's own.
var unboundedReads = map[string][]string{
	"http.ReadResponse": {"framing/responses.go", "platform/sitetrial/callers.go"},
	"io.ReadAll": {
		"internal/readall/readall.go", "platform/ingress.go", "api/callers.go", "peer/rpc.go", "cmd/snowspoke/route.go",
		"internal/memstore/http.go", "internal/standin/service.go", "platform/standin/server.go", "platform/sitetrial/callers.go",
	},
	"io.Copy": {"platform/standin/body.go", "platform/standin/proxy.go", "platform/standin/store.go"},
}

// transportsWithoutBound lists the files whose transports may leave MaxResponseHeaderBytes at its
// default and their heads unchecked: programs that end after a few calls.
var transportsWithoutBound = []string{"cmd/snowspoke/route.go", "trial/site.go"}

// Bytes of backend servers, the store and other daemons may have no end, so each reader of them has
// a bound. Their heads may not be valid, so each transport checks them.
func TestReadersHaveBounds(t *testing.T) {
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		file := strings.TrimPrefix(filepath.ToSlash(path), "../../")
		checked := map[ast.Expr]bool{} // literals of transports
		ast.Inspect(f, func(n ast.Node) bool {
			switch v := n.(type) {
			case *ast.CallExpr:
				if qualifiedName(v.Fun) == "framing.CheckHeads" {
					checked[literal(v.Args[0])] = true
				}
				if allowed, known := unboundedReads[qualifiedName(v.Fun)]; known {
					require.Contains(t, allowed, file, "%s calls %s", file, qualifiedName(v.Fun))
				}
			case *ast.CompositeLit:
				if qualifiedName(v.Type) == "http.Transport" && !hasField(v, "MaxResponseHeaderBytes") {
					require.Contains(t, transportsWithoutBound, file, "%s sets no bound on heads", file)
				}
				if qualifiedName(v.Type) == "http.Transport" && !checked[v] {
					require.Contains(t, transportsWithoutBound, file, "%s does not check heads", file)
				}
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
}

// literal returns the literal whose address an expression is.
func literal(e ast.Expr) ast.Expr {
	if u, ok := e.(*ast.UnaryExpr); ok {
		return u.X
	}
	return e
}

// qualifiedName returns an expression of the form package.Name as text, "" for others.
func qualifiedName(e ast.Expr) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	p, ok := s.X.(*ast.Ident)
	if !ok {
		return ""
	}
	return p.Name + "." + s.Sel.Name
}

func hasField(l *ast.CompositeLit, name string) bool {
	for _, e := range l.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok {
			if id, ok := kv.Key.(*ast.Ident); ok && id.Name == name {
				return true
			}
		}
	}
	return false
}
