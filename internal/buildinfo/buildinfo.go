// Package buildinfo tells builds of the daemon apart in logs and metrics.
package buildinfo

import (
	"debug/elf"
	"os"
	"runtime/debug"
	"strings"
	"sync"
)

// Release is raised with each release.
const Release = "0.33"

// revision is the source revision; the linker may set it (-X). Without that it is the
// one that the Go command has recorded, which it does not with -buildvcs=false.
var revision string

// Info identifies a build.
type Info struct {
	Release  string
	Revision string // empty if it was not recorded
	// ID is the part of the Go build ID that is a hash of the program's content, as
	// "go tool buildid" prints it last. It is empty if it cannot be read.
	ID string
}

// Get returns the build of this process.
var Get = sync.OnceValue(func() Info {
	info := Info{Release: Release, Revision: revision}
	if info.Revision == "" {
		info.Revision = recordedRevision()
	}
	if path, err := os.Executable(); err == nil {
		info.ID = buildID(path)
	}
	return info
})

// Short returns the release with the beginning of the build ID, such as
// "0.33-ZPyCMUGd".
var Short = sync.OnceValue(func() string {
	info := Get()
	id := info.ID
	if id == "" {
		id = info.Revision
	}
	if id == "" {
		return info.Release
	}
	return info.Release + "-" + id[:min(len(id), shortID)]
})

// shortID is the length of the build ID in Short: 48 bits.
const shortID = 8

func recordedRevision() string {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	recorded, modified := "", ""
	for _, s := range build.Settings {
		switch s.Key {
		case "vcs.revision":
			recorded = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				modified = "-modified"
			}
		}
	}
	if recorded == "" {
		return ""
	}
	return recorded + modified
}

// noteHeader is the length of the header of an ELF note with the name "Go\0\0".
const noteHeader = 16

// buildID returns the hash of the content in a program's Go build ID, or an empty string.
func buildID(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	section := f.Section(".note.go.buildid")
	if section == nil {
		return ""
	}
	note, err := section.Data()
	if err != nil || len(note) < noteHeader {
		return ""
	}
	id := strings.TrimRight(string(note[noteHeader:]), "\x00")
	return id[strings.LastIndexByte(id, '/')+1:]
}
