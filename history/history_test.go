// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package history

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestParseEra(t *testing.T) {
	for text, want := range map[string]Era{"1": 1, "18446744073709551615": 18446744073709551615, "": 0, "0": 0, "-1": 0, "1.0": 0, "two": 0, " 3": 0} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			got, err := ParseEra(text)
			is.Equal(got, want)
			is.Equal(err == nil, want != 0)
		})
	}
}

func FuzzParseEra(f *testing.F) {
	f.Add("7")
	f.Fuzz(func(t *testing.T, text string) {
		if era, err := ParseEra(text); (err == nil) != (era != 0) {
			t.Fatalf("%q: era %d, err %v", text, era, err)
		}
	})
}

func TestSupersedes(t *testing.T) {
	for name, c := range map[string]struct {
		first, read, known Point
		want               bool
	}{
		"nothing known":                          {NewPoint(1, 9), NewPoint(1, 3), Point{}, true},
		"newer":                                  {NewPoint(1, 9), NewPoint(1, 4), NewPoint(1, 3), true},
		"the same":                               {NewPoint(1, 9), NewPoint(1, 3), NewPoint(1, 3), true},
		"older":                                  {NewPoint(1, 9), NewPoint(1, 2), NewPoint(1, 3), false},
		"of the era before":                      {NewPoint(2, 9), NewPoint(1, 30), NewPoint(2, 3), false},
		"the copy has what is known":             {NewPoint(2, 30), NewPoint(2, 20), NewPoint(1, 20), true},
		"the copy has a newer write":             {NewPoint(2, 30), NewPoint(2, 25), NewPoint(1, 20), true},
		"the copy lacks what is known":           {NewPoint(2, 30), NewPoint(2, 20), NewPoint(1, 32), false},
		"given out again, seen from the first":   {NewPoint(2, 30), NewPoint(2, 31), NewPoint(1, 32), true},
		"given out again before it was seen":     {NewPoint(2, 31), NewPoint(2, 31), NewPoint(1, 32), false},
		"caught up before it was seen":           {NewPoint(2, 40), NewPoint(2, 35), NewPoint(1, 32), true},
		"two eras later, the copy lacks it":      {NewPoint(3, 30), NewPoint(3, 20), NewPoint(1, 32), false},
		"two eras later, written in it":          {NewPoint(3, 30), NewPoint(3, 31), NewPoint(1, 32), true},
		"of an era that hasn't been seen, older": {NewPoint(2, 30), NewPoint(3, 31), NewPoint(2, 32), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r EraTracker
			r.Observe(c.first)
			is.Equal(r.Supersedes(c.read, c.known), c.want)
		})
	}
}

func TestLowestSeen(t *testing.T) {
	is := is.New(t)
	var r EraTracker
	for _, p := range []Point{NewPoint(1, 9), NewPoint(2, 7), NewPoint(2, 5), NewPoint(2, 6), NewPoint(1, 2)} {
		r.Observe(p)
	}
	is.Equal(r.LowestSeen(), NewPoint(2, 5))
}

// write is one write of a key, as it really happened.
type write struct{ revision, sequence int }

// storeModel is a store with one key that is restored from copies, and a reader of it.
type storeModel struct {
	era      Era
	revision int
	// writes are those of the key that the present era has, the latest last.
	writes       []write
	lastSequence int

	eras  EraTracker
	known Point
	// knownSequence is when what is known was written.
	knownSequence int
}

func (m *storeModel) read(t *rapid.T) {
	m.eras.Observe(NewPoint(m.era, Revision(m.revision)))
	if len(m.writes) == 0 {
		return
	}
	last := m.writes[len(m.writes)-1]
	at := NewPoint(m.era, Revision(last.revision))
	if !m.eras.Supersedes(at, m.known) {
		if last.sequence > m.knownSequence && last.revision > int(m.eras.LowestSeen().Revision()) {
			t.Fatalf("%v was written after %v and isn't believed", at, m.known)
		}
		return
	}
	if last.sequence < m.knownSequence {
		t.Fatalf("%v was written before %v and is believed", at, m.known)
	}
	m.known, m.knownSequence = at, last.sequence
}

// TestReaderNeverGoesBack has a reader never go back, and never miss what was written in an era it saw before.
func TestReaderNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{era: 1}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) {
				m.revision++
				m.lastSequence++
				m.writes = append(m.writes, write{m.revision, m.lastSequence})
			},
			"write another key": func(*rapid.T) { m.revision++ },
			"restore": func(t *rapid.T) {
				m.revision = rapid.IntRange(max(0, m.revision-4), m.revision).Draw(t, "copied")
				m.era++
				for len(m.writes) > 0 && m.writes[len(m.writes)-1].revision > m.revision {
					m.writes = m.writes[:len(m.writes)-1]
				}
			},
			"read": m.read,
		})
	})
}
