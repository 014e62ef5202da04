// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/resource"
)

// apiClient calls the operator API of one entry.
type apiClient struct {
	server, token string
	httpClient    *http.Client
}

// apiTimeout bounds one API call, except a watch.
const apiTimeout = 15 * time.Second

func (f *clientFlags) newClient() *apiClient {
	return &apiClient{server: strings.TrimRight(f.server, "/"), token: f.token, httpClient: &http.Client{}}
}

// clientFlags are the settings that all operator commands share.
type clientFlags struct {
	server, token string
}

func (f *clientFlags) declare(s *settings) {
	s.url("server", "http://127.0.0.1:8081", "URL of an entry's operator side", &f.server)
	s.markRequired(s.text("token", "", "the operators' token", &f.token))
}

// document is a resource in the form of the operators' files and of the API.
type document struct {
	Kind resource.Kind `json:"kind"`
	Name resource.Name `json:"name"`
	// ResourceVersion, if set, is the version that the change is based on; the API
	// rejects the change if the resource is at another version.
	ResourceVersion *resource.Revision `json:"resourceVersion,omitempty"`
	Spec            json.RawMessage    `json:"spec"`
	Status          *documentStatus    `json:"status,omitempty"`
}

type documentStatus struct {
	InForceEverywhere bool                  `json:"holds"`
	Zones             map[string]zoneStatus `json:"zones"`
}

type zoneStatus struct {
	InForce  string            `json:"inForce"`
	Revision resource.Revision `json:"revision"`
	Entries  int               `json:"entries"`
	Seen     *time.Time        `json:"seen,omitempty"`
}

type documentList struct {
	Revision resource.Revision `json:"revision"`
	Items    []document        `json:"items"`
}

// errorResponse is the body of the API's response to a failed call.
type errorResponse struct {
	Message  string            `json:"message"`
	Findings resource.Findings `json:"findings"`
	Error    struct {
		Message string `json:"message"`
	} `json:"error"`
}

// apiError reports a call that the API answered with an error status.
type apiError struct {
	Status   int
	Message  string
	Findings resource.Findings
}

func (e *apiError) Error() string {
	if len(e.Findings) > 0 {
		return e.Message + ":\n" + e.Findings.Error()
	}
	return e.Message
}

func (c *apiClient) request(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.server+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%s can't be reached: %w; is the entry running, and is --server its operator side?", c.server, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer resp.Body.Close()
		return nil, readError(resp)
	}
	return resp, nil
}

func readError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	var response errorResponse
	message := strings.TrimSpace(string(text))
	if json.Unmarshal(text, &response) == nil {
		message = response.Message + response.Error.Message
	}
	if resp.StatusCode == http.StatusUnauthorized {
		message = "the token is not the operators' token; give --token or set SHEDPATH_TOKEN"
	}
	return &apiError{Status: resp.StatusCode, Message: message, Findings: response.Findings}
}

// call sends a request and decodes the JSON response into the value that into
// points to.
func (c *apiClient) call(ctx context.Context, method, path string, header http.Header, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	resp, err := c.request(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return trace.Wrap(err, "the response from %s can't be decoded", c.server)
	}
	return nil
}

func resourcePath(kind resource.Kind, name resource.Name) string {
	path := "/apis/v1/" + url.PathEscape(string(kind))
	if name != "" {
		path += "/" + url.PathEscape(string(name))
	}
	return path
}

func ifMatchHeader(version *resource.Revision) http.Header {
	if version == nil {
		return nil
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(*version), 10))}}
}

type changeResponse struct {
	ResourceVersion resource.Revision `json:"resourceVersion"`
}

func (c *apiClient) put(ctx context.Context, d document) (resource.Revision, error) {
	body, err := json.Marshal(map[string]json.RawMessage{"spec": d.Spec})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var response changeResponse
	err = c.call(ctx, http.MethodPut, resourcePath(d.Kind, d.Name), ifMatchHeader(d.ResourceVersion), body, &response)
	return response.ResourceVersion, err
}

func (c *apiClient) get(ctx context.Context, kind resource.Kind, name resource.Name) (document, error) {
	var d document
	err := c.call(ctx, http.MethodGet, resourcePath(kind, name), nil, nil, &d)
	return d, err
}

func (c *apiClient) list(ctx context.Context, kind resource.Kind) (documentList, error) {
	var l documentList
	err := c.call(ctx, http.MethodGet, resourcePath(kind, ""), nil, nil, &l)
	return l, err
}

func (c *apiClient) delete(ctx context.Context, kind resource.Kind, name resource.Name) error {
	var response changeResponse
	return c.call(ctx, http.MethodDelete, resourcePath(kind, name), nil, nil, &response)
}

// waitUntilReady polls the entry until it reports that it is ready. It returns
// an error after the timeout, or as soon as the API answers with an error status.
func (c *apiClient) waitUntilReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		var status entryStatus
		err := c.call(ctx, http.MethodGet, "/status", nil, nil, &status)
		var refused *apiError
		switch {
		case err == nil && status.Ready, errors.As(err, &refused):
			return err
		case err == nil:
			err = fmt.Errorf("%s is not ready: it has no configuration from a peer or the platform", c.server)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// pollInterval is the pause between two polls of the API.
const pollInterval = 100 * time.Millisecond

// waitUntilInForce polls the entry until it reports the resource as in force in
// every zone, or until ctx ends.
func (c *apiClient) waitUntilInForce(ctx context.Context, kind resource.Kind, name resource.Name) error {
	for {
		d, err := c.get(ctx, kind, name)
		if err == nil && d.Status != nil && d.Status.InForceEverywhere {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s/%s was accepted, but wasn't seen in force in every zone in time", kind, name)
		case <-time.After(pollInterval):
		}
	}
}
