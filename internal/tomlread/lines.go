package tomlread

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lines maps the dotted path of each key and table to its line. Tables in an array
// carry their index, as in "request[2].deadline".
type lines map[string]int

// indexLines returns the lines of a document that has already been parsed without
// errors.
func indexLines(data []byte) lines {
	ix := lineIndex{byPath: lines{}, arrays: map[string]int{}}
	ix.parser.Reset(data)
	for ix.parser.NextExpression() {
		ix.addExpression(ix.parser.Expression())
	}
	return ix.byPath
}

// lineIndex records lines while it visits a document's expressions in order.
type lineIndex struct {
	parser unstable.Parser
	byPath lines
	arrays map[string]int // index of the last element of each array table
	table  string         // path of the table that key values belong to
}

func (ix *lineIndex) addExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		ix.table, _ = ix.addPath("", n.Key())
	case unstable.ArrayTable:
		path, line := ix.addPath("", n.Key())
		ix.table = ix.nextElement(path)
		ix.record(ix.table, line)
	case unstable.KeyValue:
		ix.addKeyValue(ix.table, n)
	}
}

// addKeyValue records a key and, if its value is an inline table or an array of
// them, the keys inside.
func (ix *lineIndex) addKeyValue(table string, n *unstable.Node) {
	path, _ := ix.addPath(table, n.Key())
	ix.addValue(path, n.Value())
}

func (ix *lineIndex) addValue(path string, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			ix.addKeyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			ix.addValue(elementPath(path, i), it.Node())
		}
	}
}

// nextElement returns the path of the next element of the array table at path.
func (ix *lineIndex) nextElement(path string) string {
	i, ok := ix.arrays[path]
	if ok {
		i++
	}
	ix.arrays[path] = i
	return elementPath(path, i)
}

// addPath joins a key's parts under base, records each table along the path and
// returns the path and its line. As TOML defines, a part that names an array
// table refers to the array's last element.
func (ix *lineIndex) addPath(base string, key unstable.Iterator) (string, int) {
	path, line := base, 0
	for key.Next() {
		if i, ok := ix.arrays[path]; ok && path != "" {
			path = elementPath(path, i)
		}
		part := key.Node()
		if line == 0 {
			line = ix.parser.Shape(part.Raw).Start.Line
		}
		path = join(path, string(part.Data))
		ix.record(path, line)
	}
	return path, line
}

func (ix *lineIndex) record(path string, line int) {
	if _, ok := ix.byPath[path]; !ok {
		ix.byPath[path] = line
	}
}

// find returns the line of path, or of the nearest enclosing key or table; 0 if
// there is none.
func (l lines) find(path string) int {
	for path != "" {
		if line, ok := l[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

func join(base, part string) string {
	if base == "" {
		return part
	}
	return base + "." + part
}

func elementPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
