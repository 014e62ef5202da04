// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	yamlv3 "go.yaml.in/yaml/v3"
	"sigs.k8s.io/yaml"

	"github.com/shedpath/shedpath/resource"
)

// readDocuments reads the documents of a YAML or JSON file, or of the standard
// input if path is "-". One usage error lists everything that is wrong with them.
func readDocuments(system *System, path string) ([]document, error) {
	source := system.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageError{err}
		}
		defer file.Close()
		source = file
	}
	documents, findings, err := parseDocuments(source)
	if err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", path, err)}
	}
	if err := findings.Err(); err != nil {
		return nil, usageError{fmt.Errorf("%s is not valid:\n%w", path, err)}
	}
	return documents, nil
}

// parseDocuments parses and checks all documents of a stream. The findings name
// the document, its line and the field; the error is for a stream that isn't YAML
// or is empty.
func parseDocuments(source io.Reader) ([]document, resource.Findings, error) {
	var documents []document
	var findings resource.Findings
	decoder := yamlv3.NewDecoder(source)
	for n := 1; ; n++ {
		var node yamlv3.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, nil, err
		}
		if node.Kind == 0 || len(node.Content) == 1 && node.Content[0].Tag == "!!null" {
			continue
		}
		d, documentFindings := parseDocument(&node)
		for _, finding := range documentFindings {
			field := fmt.Sprintf("document %d, line %d, %s", n, node.Content[0].Line, finding.Field)
			findings = append(findings, resource.Finding{Field: field, Message: finding.Message})
		}
		documents = append(documents, d)
	}
	if len(documents) == 0 && len(findings) == 0 {
		return nil, nil, errors.New("there are no documents")
	}
	return documents, findings, nil
}

func parseDocument(node *yamlv3.Node) (document, resource.Findings) {
	var d document
	text, err := yamlv3.Marshal(node)
	if err == nil {
		text, err = yaml.YAMLToJSONStrict(text)
	}
	if err == nil {
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&d)
	}
	if err != nil {
		return d, resource.Findings{{Field: "document", Message: err.Error()}}
	}
	return d, resource.Check(resource.Change{Kind: d.Kind, Name: d.Name, Spec: d.Spec})
}
