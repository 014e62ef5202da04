// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package explain reads the decision lines of the hosts' logs and determines how
// and why each request ended.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one decision line of a log.
type Line struct {
	// Source is the last word before the line's first field, such as the host name that
	// a log collector puts there. It is the file name if nothing precedes the fields.
	Source    string
	Timestamp time.Time
	// Event is the value of the field msg, such as "placed".
	Event string
	// Request is the ID of the request that the line is about. It is empty for a line
	// about the state of the host.
	Request string
	// Text holds the fields exactly as they appear in the log.
	Text string

	fields map[string]string
}

// Field returns the value of a field, or an empty string if the line doesn't have it.
func (l *Line) Field(name string) string { return l.fields[name] }

// duration returns the value of a field as a duration, or zero if it can't be parsed.
func (l *Line) duration(name string) time.Duration {
	// The field may be missing or hold something else; both give zero.
	d, _ := time.ParseDuration(l.fields[name])
	return d
}

// UnreadableLine is a line that is not a valid decision line, and the reason.
type UnreadableLine struct {
	File       string
	LineNumber int
	Reason     string
}

func (u UnreadableLine) String() string {
	return fmt.Sprintf("%s:%d: %s", u.File, u.LineNumber, u.Reason)
}

// maxLineBytes bounds the length of a line. Decision lines have a few hundred bytes.
const maxLineBytes = 1 << 20

// Read reads a log and returns its decision lines. Other lines are returned in unread,
// each with its position. If err is not nil, the rest of the file couldn't be read.
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

// timeField is the start of the first field of a decision line.
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
		return line, "field ts is not an RFC 3339 time"
	}
	line.Timestamp, line.Event, line.Request = at, line.fields["msg"], line.fields["request"]
	if line.Event == "" {
		return line, "no field msg"
	}
	return line, ""
}

// splitSource splits a line before its first field. The last word before the fields,
// if any, is the source.
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
