package contract

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/tomlread"
)

// How a word or request may be repeated.
const (
	repeatNever = "never" // at most once
	repeatSafe  = "safe"  // idempotent
)

// word is what a team means by one of its words. A nil property is not set.
type word struct {
	maxAge   *time.Duration
	repeat   *string
	ahead    *bool
	open     *bool
	deadline *time.Duration
}

// team reads one team's file: its service, its words and its requests. Words
// belong to the file, so two teams may give one word two meanings.
func (c *compiler) team(root *tomlread.Table) {
	s := Service{Name: root.Required("service", nameText)}
	s.Group = root.String("group", s.Name, nameText)
	words := c.words(root.Table("words"))
	c.note(serviceKey(s.Name), root.Line("service"))
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
		t.Fault("", "a word without meaning", "one or more of ahead, deadline, max_age, open, repeat")
	}
	t.CloseWith("ahead", "deadline", "max_age", "open", "repeat")
	return w
}

// request reads one request. A read may be repeated unless a word says never; a
// write only if a word says that it is safe.
func (c *compiler) request(service string, words map[string]word, t *tomlread.Table) Request {
	name := t.Required("name", requestText)
	access := Access(t.Required("access", accessText))
	c.note(requestKey(service, name), t.Line(""))
	m := meaning(words, t)
	r := Request{Name: name, Access: access, Idempotent: access == Read, Deadline: DefaultDeadline}
	set(&r.MaxAge, m.maxAge)
	set(&r.Urgent, m.ahead)
	set(&r.Open, m.open)
	set(&r.Deadline, m.deadline)
	if m.repeat != nil {
		r.Idempotent = *m.repeat == repeatSafe
	}
	r.Deadline = t.Duration("deadline", r.Deadline, MinDeadline, MaxDeadline)
	t.String("about", "", tomlread.Text{})
	t.Close()
	return r
}

// meaning joins the words that a request is; two of them must not set one
// property to two values.
func meaning(words map[string]word, t *tomlread.Table) word {
	var m word
	for _, name := range t.Strings("is", tomlread.Text{}) {
		w, known := words[name]
		if !known {
			t.Fault("is", fmt.Sprintf("%q", name), "words of this file: "+wordList(words))
			continue
		}
		if clash := m.join(w); clash != "" {
			t.Fault("is", fmt.Sprintf("%q, which sets %s unlike another word of the request", name, clash), "words that agree")
		}
	}
	return m
}

// join adds the properties of w and names one that is set to another value
// already, "" when there is none.
func (m *word) join(w word) string {
	switch {
	case !merge(&m.maxAge, w.maxAge):
		return "max_age"
	case !merge(&m.repeat, w.repeat):
		return "repeat"
	case !merge(&m.ahead, w.ahead):
		return "ahead"
	case !merge(&m.open, w.open):
		return "open"
	case !merge(&m.deadline, w.deadline):
		return "deadline"
	}
	return ""
}

// merge sets *into to from where it is not set; false means another value.
func merge[T comparable](into **T, from *T) bool {
	if from == nil {
		return true
	}
	if *into != nil {
		return **into == *from
	}
	*into = from
	return true
}

func set[T any](into *T, from *T) {
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
