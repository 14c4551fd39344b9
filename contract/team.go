package contract

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
)

// Values of a word's repeat property: whether a request may be sent again.
const (
	repeatNever = "never" // at most once
	repeatSafe  = "safe"  // idempotent
)

// word is a named set of request properties that a team's file defines. A nil
// property is not set.
type word struct {
	maxAge   *time.Duration
	repeat   *string
	ahead    *bool // sets Request.Urgent
	open     *bool
	deadline *time.Duration
}

// team reads one team's file: its service, its words and its requests. The scope of
// a word is the file, so two teams may define the same word differently.
func (c *compiler) team(root *tomlread.Table) {
	s := Service{Name: root.Required("service", nameText)}
	s.Group = root.String("group", s.Name, nameText)
	words := c.words(root.Table("words"))
	c.recordOrigin(serviceKey(s.Name), root.Line("service"))
	for _, t := range root.Tables("request") {
		s.Requests = append(s.Requests, c.request(s.Name, words, t))
	}
	root.Close()
	c.snap.Services = append(c.snap.Services, s)
}

func (c *compiler) words(t *tomlread.Table) map[string]word {
	words := map[string]word{}
	for _, name := range t.Keys() {
		words[name] = readWord(t.Table(name))
	}
	return words
}

func readWord(t *tomlread.Table) word {
	var w word
	if t.Has("max_age") {
		w.maxAge = new(t.Duration("max_age", 0, 0, MaxAge))
	}
	if t.Has("repeat") {
		w.repeat = new(t.String("repeat", repeatNever, repeatText))
	}
	if t.Has("ahead") {
		w.ahead = new(t.Bool("ahead", false))
	}
	if t.Has("open") {
		w.open = new(t.Bool("open", false))
	}
	if t.Has("deadline") {
		w.deadline = new(t.Duration("deadline", DefaultDeadline, MinDeadline, MaxDeadline))
	}
	t.String("about", "", tomlread.Text{})
	if len(t.Keys()) == 0 || len(t.Keys()) == 1 && t.Has("about") {
		t.Fault("", "a word without properties", "one or more of ahead, deadline, max_age, open, repeat")
	}
	t.CloseWith("ahead", "deadline", "max_age", "open", "repeat")
	return w
}

// request reads one request. A read may be repeated unless one of its words sets
// repeat to "never"; a write may be repeated only if one sets it to "safe".
func (c *compiler) request(service string, words map[string]word, t *tomlread.Table) Request {
	name := t.Required("name", requestText)
	access := Access(t.Required("access", accessText))
	c.recordOrigin(requestKey(service, name), t.Line(""))
	m := combineWords(words, t)
	r := Request{Name: name, Access: access, Idempotent: access == Read, Deadline: DefaultDeadline}
	setIfNonNil(&r.MaxAge, m.maxAge)
	setIfNonNil(&r.Urgent, m.ahead)
	setIfNonNil(&r.Open, m.open)
	setIfNonNil(&r.Deadline, m.deadline)
	if m.repeat != nil {
		r.Idempotent = *m.repeat == repeatSafe
	}
	r.Deadline = t.Duration("deadline", r.Deadline, MinDeadline, MaxDeadline)
	t.String("about", "", tomlread.Text{})
	t.Close()
	return r
}

// combineWords combines the properties of the words in a request's list "is". Two of
// them must not set one property to different values.
func combineWords(words map[string]word, t *tomlread.Table) word {
	var m word
	for _, name := range t.Strings("is", tomlread.Text{}) {
		w, known := words[name]
		if !known {
			t.Fault("is", fmt.Sprintf("%q", name), "words of this file: "+wordList(words))
			continue
		}
		if conflict := m.mergeFrom(w); conflict != "" {
			t.Fault("is", fmt.Sprintf("%q, which sets %s to another value than an earlier word of the request", name, conflict), "words that set each property to one value")
		}
	}
	return m
}

// mergeFrom copies the properties that w sets into m. It returns the name of the
// first one that m already has with another value, or "".
func (m *word) mergeFrom(w word) string {
	switch {
	case !mergeProperty(&m.maxAge, w.maxAge):
		return "max_age"
	case !mergeProperty(&m.repeat, w.repeat):
		return "repeat"
	case !mergeProperty(&m.ahead, w.ahead):
		return "ahead"
	case !mergeProperty(&m.open, w.open):
		return "open"
	case !mergeProperty(&m.deadline, w.deadline):
		return "deadline"
	}
	return ""
}

// mergeProperty sets *into to from if *into is nil. It returns false if *into
// already points to another value.
func mergeProperty[T comparable](into **T, from *T) bool {
	if from == nil {
		return true
	}
	if *into != nil {
		return **into == *from
	}
	*into = from
	return true
}

// setIfNonNil sets *into to *from unless from is nil.
func setIfNonNil[T any](into *T, from *T) {
	if from != nil {
		*into = *from
	}
}

func wordList(words map[string]word) string {
	var names []string
	for name := range words {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) == 0 {
		return "none is defined"
	}
	return strings.Join(names, ", ")
}
