package tomlread

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lines maps the dotted path of each key and table to its line. Array tables
// carry their index, such as "request[2].deadline".
type lines map[string]int

// indexLines reads the lines of a document that is known to parse.
func indexLines(data []byte) lines {
	ix := lineIndex{at: lines{}, arrays: map[string]int{}}
	ix.parser.Reset(data)
	for ix.parser.NextExpression() {
		ix.expression(ix.parser.Expression())
	}
	return ix.at
}

// lineIndex walks a document's expressions in order.
type lineIndex struct {
	parser unstable.Parser
	at     lines
	arrays map[string]int // index of the last element of each array table
	table  string         // path of the table that key values belong to
}

func (ix *lineIndex) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		ix.table, _ = ix.path("", n.Key())
	case unstable.ArrayTable:
		path, line := ix.path("", n.Key())
		ix.table = ix.element(path)
		ix.note(ix.table, line)
	case unstable.KeyValue:
		ix.keyValue(ix.table, n)
	}
}

// keyValue notes a key and, when its value is an inline table or an array of
// them, the keys inside.
func (ix *lineIndex) keyValue(table string, n *unstable.Node) {
	path, _ := ix.path(table, n.Key())
	ix.value(path, n.Value())
}

func (ix *lineIndex) value(path string, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			ix.keyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			ix.value(elementPath(path, i), it.Node())
		}
	}
}

// element returns the path of the next element of the array table at path.
func (ix *lineIndex) element(path string) string {
	i, ok := ix.arrays[path]
	if ok {
		i++
	}
	ix.arrays[path] = i
	return elementPath(path, i)
}

// path joins a key's parts under base, notes each table on the way and returns
// the path and its line. A part that names an array table stands for the
// array's last element, as TOML has it.
func (ix *lineIndex) path(base string, key unstable.Iterator) (string, int) {
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
		ix.note(path, line)
	}
	return path, line
}

func (ix *lineIndex) note(path string, line int) {
	if _, ok := ix.at[path]; !ok {
		ix.at[path] = line
	}
}

// find returns the line of path, or of the nearest table around it.
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
