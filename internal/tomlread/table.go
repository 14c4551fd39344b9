package tomlread

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxBytes bounds the size of a document.
const MaxBytes = 1 << 20

// MaxFoundBytes bounds the part of a found value that a fault shows.
const MaxFoundBytes = 80

// Document is one parsed file with the faults found in it so far.
type Document struct {
	File   string
	Faults Faults
	lines  lines
}

// Table is a view of one TOML table. Reading a key marks it as known; Close
// reports the keys that are not known; each nested table needs a Close of its own. A
// method that reads a value of the wrong type or an invalid value records a fault. A
// Table is not safe for concurrent use.
type Table struct {
	doc    *Document
	path   string
	values map[string]any
	known  map[string]bool
}

// Parse parses data, the contents of file. For a document that is too large or
// not valid TOML it returns an empty table and records a fault.
func Parse(file string, data []byte) (*Document, *Table) {
	doc := &Document{File: file}
	root := &Table{doc: doc, values: map[string]any{}, known: map[string]bool{}}
	if len(data) > MaxBytes {
		doc.add(Fault{Found: fmt.Sprintf("%d bytes", len(data)), Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)})
		return doc, root
	}
	if err := toml.Unmarshal(data, &root.values); err != nil {
		doc.add(syntaxFault(err))
		root.values = map[string]any{}
		return doc, root
	}
	doc.lines = indexLines(data)
	return doc, root
}

func syntaxFault(err error) Fault {
	f := Fault{Found: err.Error(), Allowed: "TOML"}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		f.Line, _ = de.Position()
		f.Key = strings.Join(de.Key(), ".")
	}
	return f
}

func (d *Document) add(f Fault) {
	f.File = d.File
	d.Faults = append(d.Faults, f)
}

// Path returns the table's dotted path, empty for the document itself.
func (t *Table) Path() string { return t.path }

// Has reports whether the table holds key.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Line returns the line of key, or of the table when key is empty or absent; 0 if
// it is unknown.
func (t *Table) Line(key string) int {
	if key == "" {
		return t.doc.lines.find(t.path)
	}
	return t.doc.lines.find(join(t.path, key))
}

// Fault records a fault at key, or at the table itself if key is empty: found
// describes the value, allowed the values that are valid.
func (t *Table) Fault(key, found, allowed string) {
	t.doc.add(Fault{Line: t.Line(key), Key: t.keyPath(key), Found: clip(found), Allowed: allowed})
}

func (t *Table) keyPath(key string) string {
	if key == "" {
		return t.path
	}
	return join(t.path, key)
}

// Close records a fault for each key of the table that is not known.
func (t *Table) Close() {
	var known []string
	for k := range t.known {
		known = append(known, k)
	}
	slices.Sort(known)
	for _, k := range t.Keys() {
		if !t.known[k] {
			t.Fault(k, "an unknown key", "one of "+strings.Join(known, ", "))
		}
	}
}

// Keys returns the table's keys in alphabetical order.
func (t *Table) Keys() []string {
	var keys []string
	for k := range t.values {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// get returns the value of key and marks the key as known.
func (t *Table) get(key string) (any, bool) {
	t.known[key] = true
	v, ok := t.values[key]
	return v, ok
}

// Table returns the table under key, an empty one if there is none.
func (t *Table) Table(key string) *Table {
	v, ok := t.get(key)
	m, isTable := v.(map[string]any)
	if ok && !isTable {
		t.Fault(key, describe(v), "a table")
	}
	return t.child(join(t.path, key), m)
}

// Tables returns the tables of the array under key, nil if there is none. It skips
// elements that are not tables.
func (t *Table) Tables(key string) []*Table {
	v, ok := t.get(key)
	if !ok {
		return nil
	}
	list, isList := v.([]any)
	if !isList {
		t.Fault(key, describe(v), "an array of tables")
		return nil
	}
	var out []*Table
	for i, item := range list {
		path := elementPath(join(t.path, key), i)
		m, isTable := item.(map[string]any)
		if !isTable {
			t.Fault(fmt.Sprintf("%s[%d]", key, i), describe(item), "a table")
			continue
		}
		out = append(out, t.child(path, m))
	}
	return out
}

func (t *Table) child(path string, values map[string]any) *Table {
	return &Table{doc: t.doc, path: path, values: values, known: map[string]bool{}}
}

// describe returns a short description of a value for a fault.
func describe(v any) string {
	switch x := v.(type) {
	case nil:
		return "nothing"
	case string:
		return fmt.Sprintf("%q", clip(x))
	case map[string]any:
		return "a table"
	case []any:
		return fmt.Sprintf("an array of %d", len(x))
	default:
		return clip(fmt.Sprint(x))
	}
}

func clip(s string) string {
	if len(s) <= MaxFoundBytes {
		return s
	}
	return strings.ToValidUTF8(s[:MaxFoundBytes], "") + "..."
}

// CloseWith is Close for a table whose optional keys are read only if present:
// more lists keys that are valid even if they were not read.
func (t *Table) CloseWith(more ...string) {
	for _, k := range more {
		t.known[k] = true
	}
	t.Close()
}
