// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package explain reads the decision lines of hosts' logs and tells how requests
// ended and why.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one line of a log.
type Line struct {
	// Source is what stands before the line's first field, such as the name of the
	// host that a log collector put there; the file's name when nothing does.
	Source string
	Time   time.Time
	// Event is what happened, such as "placed".
	Event string
	// Request is the id of the request that it is about; empty for a line about
	// what the host believes.
	Request string
	// Text is the line's fields as they were written.
	Text string

	fields map[string]string
}

// Field returns a field's value; empty when the line doesn't have it.
func (l *Line) Field(name string) string { return l.fields[name] }

// duration returns a field as a time; zero when it isn't one.
func (l *Line) duration(name string) time.Duration {
	// A field that is missing or another's is no time.
	d, _ := time.ParseDuration(l.fields[name])
	return d
}

// UnreadableLine is a line that couldn't be read.
type UnreadableLine struct {
	File       string
	LineNumber int
	Reason     string
}

func (u UnreadableLine) String() string {
	return fmt.Sprintf("%s:%d: %s", u.File, u.LineNumber, u.Reason)
}

// maxLineBytes bounds one line; decision lines have some hundred bytes.
const maxLineBytes = 1 << 20

// Read reads a log. Lines that aren't decision lines are returned beside it, each
// with its place; an error says that the rest of the file couldn't be read.
func Read(file string, r io.Reader) (lines []Line, unread []UnreadableLine, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" {
			continue
		}
		line, reason := parseLine(file, text)
		if reason != "" {
			unread = append(unread, UnreadableLine{File: file, LineNumber: lineNumber, Reason: reason})
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return lines, unread, fmt.Errorf("%s: %w", file, err)
	}
	return lines, unread, nil
}

// timeField begins the fields of a decision line.
const timeField = "ts="

func parseLine(file, text string) (line Line, reason string) {
	before, fields, found := splitSource(text)
	if !found {
		return line, "no field ts"
	}
	line = Line{Source: before, Text: fields, fields: map[string]string{}}
	if line.Source == "" {
		line.Source = file
	}
	d := logfmt.NewDecoder(strings.NewReader(fields))
	d.ScanRecord()
	for d.ScanKeyval() {
		line.fields[string(d.Key())] = string(d.Value())
	}
	if err := d.Err(); err != nil {
		return line, err.Error()
	}
	at, err := time.Parse(time.RFC3339Nano, line.fields["ts"])
	if err != nil {
		return line, "the field ts is no time"
	}
	line.Time, line.Event, line.Request = at, line.fields["msg"], line.fields["request"]
	if line.Event == "" {
		return line, "no field msg"
	}
	return line, ""
}

// splitSource splits a line before its first field. Of what stands before, the last
// word names the source.
func splitSource(text string) (source, fields string, found bool) {
	start := strings.Index(text, timeField)
	if start < 0 || start > 0 && text[start-1] != ' ' {
		return "", "", false
	}
	words := strings.Fields(text[:start])
	if len(words) > 0 {
		source = words[len(words)-1]
	}
	return source, text[start:], true
}
