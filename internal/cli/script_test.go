// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/shedpath/shedpath/internal/hostsignal"
	"github.com/shedpath/shedpath/internal/load"
)

// TestMain lets the test binary stand in for the shedpath command with the argument "serve", and in scripts.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == hostsignal.Command {
		os.Exit(Main(os.Args[1:], ProcessSystem()))
	}
	testscript.Main(m, map[string]func(){
		"shedpath": func() { os.Exit(Main(os.Args[1:], ProcessSystem())) },
	})
}

// TestScripts runs the commands as operators do. The script command "site" starts
// the demo's site and sets SERVER, SERVER2, CALLER, SHEDPATH_SERVER and
// SHEDPATH_TOKEN.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			examples, err := filepath.Abs("../../examples")
			env.Setenv("EXAMPLES", examples)
			return err
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){"site": startSite},
	})
}

func startSite(ts *testscript.TestScript, _ bool, _ []string) {
	stop, cancel := context.WithCancel(context.Background())
	cut, cancelCut := context.WithCancel(context.Background())
	d := &demo{out: io.Discard, zones: []string{"az1", "az2", "az3"}}
	ts.Defer(func() {
		cancel()
		cancelCut()
		d.goroutines.Wait()
	})
	ts.Check(d.start(stop, cut))
	ts.Check(d.applyAndCall(stop))
	ts.Setenv("SERVER", "http://"+d.daemons[0].Addresses().Admin)
	ts.Setenv("SERVER2", "http://"+d.daemons[1].Addresses().Admin)
	ts.Setenv("CALLER", "http://"+d.daemons[0].Addresses().Caller)
	ts.Setenv("SHEDPATH_SERVER", "http://"+d.daemons[0].Addresses().Admin)
	ts.Setenv("SHEDPATH_TOKEN", demoAdminToken)
}

// TestExamples checks that every file under examples is valid, and that the demo
// applies examples/site.yaml.
func TestExamples(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*.yaml")
	is.NoErr(err)
	is.True(len(files) >= 2)
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		if filepath.Base(file) == "mix.yaml" {
			_, err := load.ParseMix(text)
			is.NoErr(err)
			continue
		}
		documents, findings, err := parseDocuments(bytes.NewReader(text))
		is.NoErr(err)
		is.NoErr(findings.Err())
		is.True(len(documents) > 0)
		if filepath.Base(file) == "site.yaml" {
			is.Equal(string(text), string(demoConfiguration))
		}
	}
}

func FuzzParseDocuments(f *testing.F) {
	f.Add(string(demoConfiguration))
	f.Add("kind: routes\nname: [x]\n---\n{}\n")
	f.Fuzz(func(t *testing.T, text string) {
		documents, findings, err := parseDocuments(bytes.NewReader([]byte(text)))
		if err == nil && len(documents) == 0 && len(findings) == 0 {
			t.Fatalf("parseDocuments(%q) returned no documents, no findings and no error", text)
		}
	})
}
