package contract

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
)

// Fault is one thing wrong with a file or a snapshot.
type Fault = tomlread.Fault

// Files that are not a team's.
const (
	CustomersFile = "customers.toml" // the customers, with rate, burst and weight
	FleetFile     = "fleet.toml"     // data centres, database groups and the roster of hosts
)

// Load reads every TOML file under the directories and compiles one snapshot:
// CustomersFile, FleetFile, and one file for each service. The snapshot has no
// keys and no versions yet; Publish adds both. When there are faults, all are
// returned, in order of file and line, and the snapshot must not be used.
func Load(dirs ...string) (*Snapshot, []Fault) {
	return load(source{filepath.WalkDir, os.ReadFile}, dirs)
}

// LoadFS is Load for directories of fsys.
func LoadFS(fsys fs.FS, dirs ...string) (*Snapshot, []Fault) {
	walk := func(root string, fn fs.WalkDirFunc) error { return fs.WalkDir(fsys, root, fn) }
	read := func(name string) ([]byte, error) { return fs.ReadFile(fsys, name) }
	return load(source{walk, read}, dirs)
}

// source is where team files are read from.
type source struct {
	walk func(root string, fn fs.WalkDirFunc) error
	read func(name string) ([]byte, error)
}

func load(src source, dirs []string) (*Snapshot, []Fault) {
	c := newCompiler()
	for _, dir := range dirs {
		c.readDir(src, dir)
	}
	return c.finish()
}

// readDir reads the files under dir, in order of their names.
func (c *compiler) readDir(src source, dir string) {
	var paths []string
	err := src.walk(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !d.IsDir() && filepath.Ext(path) == ".toml" {
			paths = append(paths, path)
		}
		return nil
	})
	if err != nil {
		c.fault(Fault{File: dir, Found: err.Error(), Allowed: "a directory that can be read"})
	}
	slices.Sort(paths)
	for _, path := range paths {
		c.readFile(src, path)
	}
}

func (c *compiler) readFile(src source, path string) {
	data, err := src.read(path)
	if err != nil {
		c.fault(Fault{File: path, Found: err.Error(), Allowed: "a file that can be read"})
		return
	}
	c.add(path, data)
}

// add compiles one file into the snapshot.
func (c *compiler) add(path string, data []byte) {
	doc, root := tomlread.Parse(path, data)
	c.doc = doc
	if len(doc.Faults) == 0 {
		c.compile(filepath.Base(path), root)
	}
	if len(doc.Faults) > 0 {
		c.faulty[path] = true
	}
	c.faults = append(c.faults, doc.Faults...)
}

func (c *compiler) compile(base string, root *tomlread.Table) {
	switch base {
	case CustomersFile:
		if c.once(base) {
			c.customers(root)
		}
	case FleetFile:
		if c.once(base) {
			c.fleet(root)
		}
	default:
		c.team(root)
	}
}

// once reports whether a file of which there may be one is met the first time.
func (c *compiler) once(base string) bool {
	first, again := c.single[base]
	if again {
		c.fault(Fault{File: c.doc.File, Found: "a second " + base, Allowed: "one; the first is " + first})
		return false
	}
	c.single[base] = c.doc.File
	return true
}

// compiler collects files into one snapshot.
type compiler struct {
	snap   *Snapshot
	groups map[string]*group
	doc    *tomlread.Document // the file being read
	faults tomlread.Faults
	faulty map[string]bool   // files with faults of their own
	single map[string]string // path of CustomersFile and FleetFile
	origin map[string]origin // where Check's keys come from
}

// origin is the place that an item of the snapshot was read from.
type origin struct {
	file string
	line int
}

// group is a database group as FleetFile gives it.
type group struct {
	databases []Database
	slots     int
	maxConns  int
	origin    origin
	used      bool
}

func newCompiler() *compiler {
	return &compiler{
		snap:   &Snapshot{},
		groups: map[string]*group{},
		faulty: map[string]bool{},
		single: map[string]string{},
		origin: map[string]origin{},
	}
}

func (c *compiler) fault(f Fault) { c.faults = append(c.faults, f) }

// note remembers that the item that Check calls key was read at line.
func (c *compiler) note(key string, line int) {
	if _, ok := c.origin[key]; !ok {
		c.origin[key] = origin{file: c.doc.File, line: line}
	}
}

// finish joins services with their groups, checks the whole and returns it.
func (c *compiler) finish() (*Snapshot, []Fault) {
	for _, base := range []string{CustomersFile, FleetFile} {
		if c.single[base] == "" {
			c.fault(Fault{File: base, Found: "no such file", Allowed: "exactly one"})
		}
	}
	for i := range c.snap.Services {
		c.join(&c.snap.Services[i])
	}
	c.unusedGroups()
	c.checkWhole()
	c.faults.Sort()
	return c.snap, c.faults
}

// join gives a service the databases of its group.
func (c *compiler) join(s *Service) {
	g := c.groups[s.Group]
	if g == nil {
		if fleet := c.single[FleetFile]; fleet != "" && !c.faulty[fleet] {
			at := c.origin[serviceKey(s.Name)]
			c.fault(Fault{File: at.file, Line: at.line, Key: "group", Found: fmt.Sprintf("%q", s.Group), Allowed: "a group of " + FleetFile})
			c.faulty[at.file] = true
		}
		return
	}
	g.used = true
	s.Databases, s.Slots, s.MaxConns = g.databases, g.slots, g.maxConns
}

func (c *compiler) unusedGroups() {
	for name, g := range c.groups {
		if !g.used && len(c.faulty) == 0 {
			c.fault(Fault{File: g.origin.file, Line: g.origin.line, Key: "group", Found: fmt.Sprintf("%q", name), Allowed: "a group that a service's file names"})
		}
	}
}

// checkWhole adds what Check finds, with file and line. Files that have faults
// already are passed over: their items may be incomplete for that reason.
func (c *compiler) checkWhole() {
	for _, f := range Check(c.snap) {
		at := c.originOf(f.Key)
		if c.faulty[at.file] || at.file == "" && len(c.faults) > 0 {
			continue
		}
		if at.file != "" {
			f.File, f.Line = at.file, at.line
		}
		c.fault(f)
	}
}

// originOf returns the origin of the item that key names, or of the nearest one
// around it; no file when the key is of the whole snapshot.
func (c *compiler) originOf(key string) origin {
	for end := len(key); end > 0; end-- {
		if at, ok := c.origin[key[:end]]; ok && (end == len(key) || key[end] == ' ') {
			return at
		}
	}
	return origin{}
}
