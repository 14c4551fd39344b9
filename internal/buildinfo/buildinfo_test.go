package buildinfo_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/bronzeloft/bronzeloft/internal/buildinfo"
)

// Guards against hosts of two builds whose logs do not tell them apart: deploy builds
// record no source revision.
func TestBuildIDWithoutRevision(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	source := `package main

import "github.com/bronzeloft/bronzeloft/internal/buildinfo"

func main() { println(buildinfo.Get().ID, buildinfo.Short()) }
`
	inModule, err := os.MkdirTemp(".", "testprogram")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(inModule)
	if err := os.WriteFile(filepath.Join(inModule, "main.go"), []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "./"+inModule)
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	id, err := exec.Command("go", "tool", "buildid", program).Output()
	if err != nil {
		t.Fatal(err)
	}
	content := strings.TrimSpace(string(id[strings.LastIndexByte(string(id), '/')+1:]))
	got, err := exec.Command(program).CombinedOutput()
	if err != nil {
		t.Fatal(err)
	}
	want := content + " " + buildinfo.Release + "-" + content[:8] + "\n"
	if string(got) != want {
		t.Errorf("program prints %q, want %q", got, want)
	}
	if !regexp.MustCompile(`^[0-9A-Za-z_-]{20}$`).MatchString(content) {
		t.Errorf("content hash %q", content)
	}
}
