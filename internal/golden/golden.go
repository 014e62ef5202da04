// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package golden is for tests that pin what leaves the process: it compares bytes with files, and
// fills values so that no two fields are alike.
package golden

import (
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("write-golden", false, "write the golden files")

// caseMark begins the line with a case's name.
const caseMark = "== "

// Book is a golden file of named cases. Use Open.
type Book struct {
	t     *testing.T
	order []string
	cases map[string]string
	seen  map[string]bool
}

// Open reads testdata/golden/NAME.txt. At the test's end every case must have been checked.
func Open(t *testing.T, name string) *Book {
	t.Helper()
	b := &Book{t: t, cases: map[string]string{}, seen: map[string]bool{}}
	path := filepath.Join("testdata", "golden", name+".txt")
	if !*update {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		b.read(string(text))
	}
	t.Cleanup(func() {
		if *update {
			b.write(path)
		}
		for _, name := range b.order {
			if !b.seen[name] {
				t.Errorf("%s: the case %q is checked by nothing", path, name)
			}
		}
	})
	return b
}

func (b *Book) read(text string) {
	name := ""
	for line := range strings.Lines(text) {
		if after, found := strings.CutPrefix(line, caseMark); found {
			name = strings.TrimSpace(after)
			b.order = append(b.order, name)
			continue
		}
		b.cases[name] += line
	}
}

func (b *Book) write(path string) {
	var out strings.Builder
	for _, name := range b.order {
		out.WriteString(caseMark + name + "\n" + b.cases[name])
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		b.t.Error(err)
	}
	if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
		b.t.Error(err)
	}
}

// Text compares a text with a case and returns the golden one.
func (b *Book) Text(name, got string) string {
	b.t.Helper()
	if !strings.HasSuffix(got, "\n") {
		got += "\n"
	}
	want, found := b.cases[name]
	if *update && !found {
		want, found = got, true
		b.order, b.cases[name] = append(b.order, name), got
	}
	b.seen[name] = true
	if !found || got != want {
		b.t.Errorf("%s: is not as in the golden file\n%s", name, difference(want, got))
	}
	return want
}

// Bytes is Text for bytes, which the file has as a hex dump.
func (b *Book) Bytes(name string, got []byte) []byte {
	b.t.Helper()
	return b.undump(b.Text(name, hex.Dump(got)))
}

// Kept is Bytes for bytes that another release of a library may make otherwise, as compressed ones:
// those of the file are returned and not compared.
func (b *Book) Kept(name string, got []byte) []byte {
	if _, found := b.cases[name]; !found {
		return b.Bytes(name, got)
	}
	b.seen[name] = true
	return b.undump(b.cases[name])
}

func (b *Book) undump(dump string) []byte {
	var all []byte
	for line := range strings.Lines(dump) {
		_, line, _ = strings.Cut(line, " ")
		line, _, _ = strings.Cut(line, "|")
		part, err := hex.DecodeString(strings.ReplaceAll(strings.TrimSpace(line), " ", ""))
		if err != nil {
			b.t.Error(err)
		}
		all = append(all, part...)
	}
	return all
}

// difference shows the lines that two texts don't have in common at one place.
func difference(want, got string) string {
	wanted, there := strings.Split(want, "\n"), strings.Split(got, "\n")
	var out strings.Builder
	for i := range max(len(wanted), len(there)) {
		w, g := at(wanted, i), at(there, i)
		if w != g {
			fmt.Fprintf(&out, "  want %s\n  got  %s\n", w, g)
		}
	}
	return out.String()
}

func at(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}

// Equal compares a decoded value with the one that was encoded.
func Equal(t *testing.T, name string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded otherwise\n%s", name, difference(fmt.Sprintf("%+v", want), fmt.Sprintf("%+v", got)))
	}
}

// Filler fills values by the order of their fields. Use NewFiller.
type Filler struct {
	// Now is what times are counted from.
	Now    time.Time
	makers map[reflect.Type]func(n int) any

	// only is the number of the one truth value that is true, from 1.
	only, n, truths int
}

// NewFiller returns a filler that counts times from a moment.
func NewFiller(now time.Time) Filler {
	return Filler{Now: now, makers: map[reflect.Type]func(int) any{}}
}

// Make has the values of a type be made from a number.
func Make[T any](f Filler, from func(n int) T) {
	f.makers[reflect.TypeFor[T]()] = func(n int) any { return from(n) }
}

// Cases returns one value for each truth value in T, which alone is true there, or one value for a
// T without any. The other values are the same in all. fix sets what can't be filled by order.
func Cases[T any](f Filler, fix func(*T)) []T {
	var all []T
	for {
		var v T
		f.n, f.truths = 0, 0
		f.only = len(all) + 1
		f.fill(reflect.ValueOf(&v).Elem())
		if fix != nil {
			fix(&v)
		}
		all = append(all, v)
		if len(all) >= f.truths {
			return all
		}
	}
}

func (f *Filler) fill(v reflect.Value) {
	if made := f.makers[v.Type()]; made != nil {
		f.n++
		v.Set(reflect.ValueOf(made(f.n)))
		return
	}
	switch v.Interface().(type) {
	case time.Time:
		f.n++
		v.Set(reflect.ValueOf(f.Now.Add(time.Duration(f.n) * time.Second)))
		return
	case time.Duration:
		f.n++
		v.SetInt(int64(time.Duration(1000+f.n) * time.Millisecond))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		f.truths++
		v.SetBool(f.truths == f.only)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			f.fill(key)
			f.fill(value)
			v.SetMapIndex(key, value)
		}
	default:
		f.n++
		f.scalar(v)
	}
}

func (f *Filler) scalar(v reflect.Value) {
	switch {
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.n))
	case v.CanInt():
		v.SetInt(int64(f.n))
	case v.CanUint():
		v.SetUint(uint64(f.n))
	case v.CanFloat():
		v.SetFloat(float64(f.n) + 0.5)
	default:
		panic("no value for " + v.Type().String())
	}
}

// HTTP writes a request or an answer as it travels, without the lines that name a host or a moment.
func HTTP(raw []byte) string {
	lines := strings.Split(strings.ReplaceAll(string(raw), "\r\n", "\n"), "\n")
	return strings.Join(slices.DeleteFunc(lines, func(line string) bool {
		name, _, _ := strings.Cut(line, ": ")
		return slices.Contains([]string{"Host", "Date", "User-Agent", "Accept-Encoding"}, name)
	}), "\n")
}

// Server keeps the requests that it gets, and answers all with the same, or each with the next of
// Then. Use Serve.
type Server struct {
	Address, Answer string
	Then            []string
	// Header is set in the answers.
	Header map[string]string
	calls  strings.Builder
}

// Serve starts a server for the time of a test.
func Serve(t *testing.T, header map[string]string) *Server {
	s := &Server{Header: header}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	s.Address = server.Listener.Addr().String()
	return s
}

// ServeHTTP keeps a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A request that can't be dumped shows as one that isn't as in the file.
	raw, _ := httputil.DumpRequest(r, true)
	s.calls.WriteString(HTTP(raw) + "\n")
	for name, value := range s.Header {
		w.Header().Set(name, value)
	}
	_, _ = io.WriteString(w, s.Answer)
	if len(s.Then) > 0 {
		s.Answer, s.Then = s.Then[0], s.Then[1:]
	}
}

// Calls are the requests since the last time.
func (s *Server) Calls() string {
	defer s.calls.Reset()
	return s.calls.String()
}
