// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shedpath/shedpath/internal/golden"
	"github.com/shedpath/shedpath/resource"
)

// TestGoldenOutput pins what operators' commands show, and the documents that they read: each is
// shown in all forms and read again.
func TestGoldenOutput(t *testing.T) {
	b := golden.Open(t, "output")
	f := golden.NewFiller(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC))
	golden.Make(f, func(int) json.RawMessage { return json.RawMessage(`{"model":"m","timeout":"5s"}`) })
	shown := func(name, form string, whole any, rows []document) string {
		var out strings.Builder
		if err := writeOutput(&out, form, whole, rows); err != nil {
			t.Error(err)
		}
		return b.Text(name+", "+form, out.String())
	}
	d := golden.Cases(f, func(d *document) { d.Kind, d.Name = resource.Routes, "name-1" })[0]
	for _, form := range []string{outputYAML, outputJSON} {
		documents, found, err := parseDocuments(strings.NewReader(shown("document", form, d, nil)))
		if err != nil || found != nil {
			t.Fatal(err, found)
		}
		golden.Equal(t, "document", documents[0].Status, d.Status)
		golden.Equal(t, "document", *documents[0].ResourceVersion, *d.ResourceVersion)
	}
	shown("document", outputTable, d, []document{d})
	status := golden.Cases[entryStatus](f, nil)
	shown("status of a leaving host", outputJSON, status[1], nil)
	shown("status", outputYAML, status[0], nil)
	var back entryStatus
	if err := json.Unmarshal([]byte(shown("status", outputJSON, status[0], nil)), &back); err != nil {
		t.Error(err)
	}
	golden.Equal(t, "status", back, status[0])
	var table strings.Builder
	if err := writeStatus(&table, status[0]); err != nil {
		t.Error(err)
	}
	b.Text("status, table", table.String())

	site, err := os.Open("site.yaml")
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	documents, _, err := parseDocuments(site)
	if err != nil {
		t.Fatal(err)
	}
	shown("example site", outputJSON, documents, nil)
	server := golden.Serve(t, nil)
	server.Answer = `{"resourceVersion":15}`
	client := &apiClient{server: "http://" + server.Address, token: "token-1", httpClient: &http.Client{}}
	version, err := client.put(t.Context(), d)
	if err != nil || version != 15 {
		t.Error(version, err)
	}
	b.Text("put", server.Calls())
}
