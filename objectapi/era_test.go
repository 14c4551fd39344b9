package objectapi_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/bronzeloft/bronzeloft/internal/standin/platformserver"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

func TestEraOfAnswer(t *testing.T) {
	for text, want := range map[string]uint64{"": 0, "7": 7, "-1": 0, "x": 0, "1.5": 0, "99999999": 0} {
		if got := objectapi.EraOf(http.Header{objectapi.HeaderEra: {text}}); got != want {
			t.Errorf("era %q is %d, want %d", text, got, want)
		}
	}
	if got := objectapi.VersionIn(0, 17); got != 17 {
		t.Errorf("version without an era is %d, want the revision", got)
	}
	if objectapi.VersionIn(2, 1) <= objectapi.VersionIn(1, 1<<39) {
		t.Error("a version of a later era is not higher")
	}
}

// A store without eras may give out any revision.
func TestHighRevisionWithoutEra(t *testing.T) {
	const revision = uint64(1700000000000) // such as milliseconds
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v := r.URL.Query().Get(objectapi.ParamVersion); v != "" && v != fmt.Sprint(revision) {
			t.Errorf("%s of version %s", r.Method, v)
		}
		fmt.Fprintf(w, `{"kind":"k","name":"x","version":%d,"value":"e30="}`, revision)
	}))
	defer server.Close()
	client := objectapi.NewClient(objectapi.ClientConfig{BaseURL: server.URL})
	ctx := context.Background()
	o, err := client.Update(ctx, "k", "x", revision, []byte("{}"))
	if err != nil || o.Version != revision || client.Eras().Of(o.Version) != 0 {
		t.Errorf("written as version %d of era %d: %v", o.Version, client.Eras().Of(o.Version), err)
	}
	if _, _, err := client.Watch(ctx, "k", revision); err != nil {
		t.Errorf("watch: %v", err)
	}
}

// A store that has returned gives a revision out again, to another content of the same object.
func TestWriteAfterReturn(t *testing.T) {
	store, err := platformserver.Start(platformserver.Config{Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	store.SetEra(1)
	put := func(value string) {
		if _, err := store.Put("k", "x", []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	client := objectapi.NewClient(objectapi.ClientConfig{BaseURL: store.URL()})
	ctx := context.Background()
	put(`"copied"`)
	store.Copy()
	put(`"own"`)
	read, err := client.Get(ctx, "k", "x")
	if err != nil {
		t.Fatal(err)
	}
	store.Return()
	put(`"of another host"`)
	if again, _ := store.Get("k", "x"); again.Version != objectapi.Revision(read.Version) {
		t.Fatalf("revision %d was not given out again: %d", objectapi.Revision(read.Version), again.Version)
	}
	client.Eras().Learn(2, "another host")
	if _, err := client.Update(ctx, "k", "x", read.Version, []byte(`"lost"`)); !errors.Is(err, objectapi.ErrConflict) {
		t.Errorf("write against another object: %v, want a conflict", err)
	}
	if _, _, err := client.Watch(ctx, "k", read.Version); !errors.Is(err, objectapi.ErrCompacted) {
		t.Errorf("watch from a version of before: %v", err)
	}
	if again, _ := store.Get("k", "x"); string(again.Value) != `"of another host"` {
		t.Errorf("the object is %s", again.Value)
	}
	unaware := objectapi.NewClient(objectapi.ClientConfig{BaseURL: store.URL()})
	unaware.Eras().Learn(1, "store")
	if _, err := unaware.Update(ctx, "k", "x", read.Version, []byte(`"late"`)); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("write answered in a later era: %v, want an unknown outcome", err)
	}
}

func TestLateAnswerOfOlderEra(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(objectapi.HeaderEra, "1")
		fmt.Fprint(w, `{"kind":"k","name":"x","version":3,"value":"e30="}`)
	}))
	defer server.Close()
	client := objectapi.NewClient(objectapi.ClientConfig{BaseURL: server.URL, Timeout: 100e6})
	client.Eras().Learn(2, "another host")
	if _, err := client.Get(context.Background(), "k", "x"); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("read: %v", err)
	}
	if _, err := client.Create(context.Background(), "k", "x", nil); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Errorf("write: %v", err)
	}
}
