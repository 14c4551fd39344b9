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

// Names of the files that do not describe a service.
const (
	CustomersFile = "customers.toml" // the customers, with rate, burst and weight
	FleetFile     = "fleet.toml"     // data centres, database groups and the roster of hosts
)

// Load reads every TOML file under the directories (CustomersFile, FleetFile, and
// one file for each service) and compiles them into one snapshot. The snapshot has
// no keys and no versions; Publish adds both. Load returns all faults, ordered by
// file and line. If there are any, the snapshot must not be used.
func Load(dirs ...string) (*Snapshot, []Fault) {
	return load(source{filepath.WalkDir, os.ReadFile}, dirs)
}

// LoadFS is Load for directories in fsys.
func LoadFS(fsys fs.FS, dirs ...string) (*Snapshot, []Fault) {
	walk := func(root string, fn fs.WalkDirFunc) error { return fs.WalkDir(fsys, root, fn) }
	read := func(name string) ([]byte, error) { return fs.ReadFile(fsys, name) }
	return load(source{walk, read}, dirs)
}

// source is the file system that the files are read from.
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

// readDir reads the TOML files under dir, ordered by path.
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
		if c.registerSingleton(base) {
			c.customers(root)
		}
	case FleetFile:
		if c.registerSingleton(base) {
			c.fleet(root)
		}
	default:
		c.team(root)
	}
}

// registerSingleton records the path of a file that may exist only once. It adds a
// fault and returns false if a file of that name was read before.
func (c *compiler) registerSingleton(base string) bool {
	first, again := c.singletons[base]
	if again {
		c.fault(Fault{File: c.doc.File, Found: "a second " + base, Allowed: "one file of that name; the first is " + first})
		return false
	}
	c.singletons[base] = c.doc.File
	return true
}

// compiler builds one snapshot from the files that it reads.
type compiler struct {
	snap       *Snapshot
	groups     map[string]*group
	doc        *tomlread.Document // the file being read
	faults     tomlread.Faults
	faulty     map[string]bool   // files that have faults; see checkSnapshot
	singletons map[string]string // paths of CustomersFile and FleetFile, by base name
	origins    map[string]origin // where the items were read, by the prefix of their keys in Check's faults
}

// origin is the place where an item of the snapshot was read.
type origin struct {
	file string
	line int
}

// group is a database group as declared in FleetFile.
type group struct {
	databases []Database
	slots     int
	maxConns  int
	origin    origin
	used      bool
}

func newCompiler() *compiler {
	return &compiler{
		snap:       &Snapshot{},
		groups:     map[string]*group{},
		faulty:     map[string]bool{},
		singletons: map[string]string{},
		origins:    map[string]origin{},
	}
}

func (c *compiler) fault(f Fault) { c.faults = append(c.faults, f) }

// recordOrigin records that the item with the prefix key in Check's faults was read
// at line of the current file. The first of several items with that key counts.
func (c *compiler) recordOrigin(key string, line int) {
	if _, ok := c.origins[key]; !ok {
		c.origins[key] = origin{file: c.doc.File, line: line}
	}
}

// finish attaches the groups to the services, checks the snapshot and returns it.
func (c *compiler) finish() (*Snapshot, []Fault) {
	for _, base := range []string{CustomersFile, FleetFile} {
		if c.singletons[base] == "" {
			c.fault(Fault{File: base, Found: "no such file", Allowed: "exactly one"})
		}
	}
	for i := range c.snap.Services {
		c.attachGroup(&c.snap.Services[i])
	}
	c.unusedGroups()
	c.checkSnapshot()
	c.faults.Sort()
	return c.snap, c.faults
}

// attachGroup sets the databases, slots and connections of a service from its group.
// It adds a fault if FleetFile was read without faults and has no such group.
func (c *compiler) attachGroup(s *Service) {
	g := c.groups[s.Group]
	if g == nil {
		if fleet := c.singletons[FleetFile]; fleet != "" && !c.faulty[fleet] {
			at := c.origins[serviceKey(s.Name)]
			c.fault(Fault{File: at.file, Line: at.line, Key: "group", Found: fmt.Sprintf("%q", s.Group), Allowed: "a group of " + FleetFile})
			c.faulty[at.file] = true
		}
		return
	}
	g.used = true
	s.Databases, s.Slots, s.MaxConns = g.databases, g.slots, g.maxConns
}

// unusedGroups adds a fault for each group that no service uses, unless a file has
// faults: the service that uses the group may then be missing.
func (c *compiler) unusedGroups() {
	for name, g := range c.groups {
		if !g.used && len(c.faulty) == 0 {
			c.fault(Fault{File: g.origin.file, Line: g.origin.line, Key: "group", Found: fmt.Sprintf("%q", name), Allowed: "a group that a service uses"})
		}
	}
}

// checkSnapshot adds the faults from Check, with file and line. It ignores faults in
// files that already have one, because their items may be incomplete for that
// reason.
func (c *compiler) checkSnapshot() {
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

// originOf returns the origin of the item that key belongs to, or of the closest
// enclosing item that has one. The file is empty if the key concerns the whole
// snapshot.
func (c *compiler) originOf(key string) origin {
	for end := len(key); end > 0; end-- {
		if at, ok := c.origins[key[:end]]; ok && (end == len(key) || key[end] == ' ') {
			return at
		}
	}
	return origin{}
}
