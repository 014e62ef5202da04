// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package e2e

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestCallers checks the caller API of one site: an unmodified OpenAI client,
// invalid requests of every kind, and authentication.
func TestCallers(t *testing.T) {
	s := newSite(t, 1, 1)
	e := s.entries[0]
	client := openai.NewClient(option.WithBaseURL(e.url("caller", "/v1/")), option.WithAPIKey(callerKey))
	params := openai.ChatCompletionNewParams{
		Model: "quote", MaxTokens: openai.Int(12),
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("12 chains")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	t.Run("stock client, stream", func(t *testing.T) {
		is := is.New(t)
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		gathered := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			is.True(gathered.AddChunk(stream.Current()))
		}
		is.NoErr(stream.Err())
		is.Equal(len(strings.Fields(gathered.Choices[0].Message.Content)), 12)
		is.Equal(gathered.Usage.CompletionTokens, int64(12))
	})
	t.Run("stock client, whole", func(t *testing.T) {
		is := is.New(t)
		whole := params
		whole.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
		got, err := client.Chat.Completions.New(t.Context(), whole)
		is.NoErr(err)
		is.Equal(len(strings.Fields(got.Choices[0].Message.Content)), 12)
		is.Equal(got.Choices[0].FinishReason, "stop")
	})
	t.Run("stock client, models", func(t *testing.T) {
		is := is.New(t)
		got, err := client.Models.List(t.Context())
		is.NoErr(err)
		is.Equal(len(got.Data), 1)
		is.Equal(got.Data[0].ID, "quote")
	})
	testInvalidRequests(t, e)
}

// testInvalidRequests checks the status, error code and run state of the error
// that each invalid request gets.
func testInvalidRequests(t *testing.T, e *process) {
	for name, c := range map[string]struct {
		key, path, body string
		status          int
		code, run       string
	}{
		"no key":           {"", "/v1/completions", completionBody(1), 401, "unauthorized", "not_run"},
		"wrong key":        {"x", "/v1/completions", completionBody(1), 401, "unauthorized", "not_run"},
		"bad JSON":         {callerKey, "/v1/completions", "{", 400, "bad_request", "not_run"},
		"no model":         {callerKey, "/v1/completions", `{"prompt":"a"}`, 400, "bad_request", "not_run"},
		"no prompt":        {callerKey, "/v1/chat/completions", `{"model":"quote"}`, 400, "bad_request", "not_run"},
		"two answers":      {callerKey, "/v1/completions", `{"model":"quote","prompt":"a","n":2}`, 400, "bad_request", "not_run"},
		"unknown model":    {callerKey, "/v1/completions", `{"model":"none","prompt":"a"}`, 404, "unknown_model", "not_run"},
		"service as model": {callerKey, "/v1/completions", `{"model":"stock","prompt":"a"}`, 404, "unknown_model", "not_run"},
		"prompt too long":  {callerKey, "/v1/completions", `{"model":"quote","prompt":"` + strings.Repeat("word ", 40000) + `"}`, 400, "prompt_too_long", "not_run"},
		"body too large":   {callerKey, "/v1/completions", strings.Repeat(" ", 9<<20), 413, "request_too_large", "not_run"},
		"unknown service":  {callerKey, "/services/none/x", "{}", 404, "unknown_route", "not_run"},
		"model as service": {callerKey, "/services/quote/x", "{}", 404, "unknown_route", "not_run"},
		"unknown path":     {callerKey, "/v2/x", "{}", 404, "unknown_route", "not_run"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, e.url("caller", c.path), strings.NewReader(c.body))
			is.NoErr(err)
			if c.key != "" {
				req.Header.Set("Authorization", "Bearer "+c.key)
			}
			response, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer response.Body.Close()
			var body struct{ Error apiError }
			is.NoErr(json.NewDecoder(response.Body).Decode(&body))
			is.Equal(response.StatusCode, c.status)
			is.Equal(body.Error.Code, c.code)
			is.Equal(body.Error.Run, c.run)
			is.True(body.Error.Message != "")
		})
	}
}

// TestTraces checks that the caller, placement and upstream spans of a call all
// belong to the trace that the caller's traceparent header names.
func TestTraces(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 1)
	traced := s.startEntry(3, "--trace", "stdout")
	s.waitUntilServing(traced)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	response, err := openGeneration(ctx, traced, completionBody(3), map[string]string{
		"traceparent": "00-" + traceID + "-b7ad6b7169203331-01",
	})
	is.NoErr(err)
	is.True(readGeneration(response, nil).done)
	traced.signal(syscall.SIGTERM)
	<-traced.exited
	spans := map[string]bool{}
	decoder := json.NewDecoder(&traced.stdout)
	for {
		var span struct {
			Name        string
			SpanContext struct{ TraceID string }
		}
		if err := decoder.Decode(&span); err == io.EOF {
			break
		} else {
			is.NoErr(err)
		}
		if span.SpanContext.TraceID == traceID {
			spans[span.Name] = true
		}
	}
	is.Equal(spans, map[string]bool{"caller": true, "placement": true, "upstream": true})
}

// TestTLS checks that an entry serves its caller and admin listeners over TLS.
func TestTLS(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 1)
	certificate, key, roots := selfSignedCertificate(t)
	e := s.startEntry(3, "--tls-cert", certificate, "--tls-key", key)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	for _, side := range []string{"caller", "admin"} {
		path := map[string]string{"caller": "/v1/models", "admin": "/healthz"}[side]
		req, err := http.NewRequest(http.MethodGet, "https://"+e.addresses[side]+path, nil)
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+callerKey)
		s.waitFor("response over TLS from the "+side+" listener", func() error {
			response, err := client.Do(req)
			if err != nil {
				return err
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return io.ErrUnexpectedEOF
			}
			return nil
		})
	}
}

// selfSignedCertificate writes a certificate for 127.0.0.1 and its private key
// to PEM files and returns their paths and a pool that trusts the certificate.
func selfSignedCertificate(t *testing.T) (certificate, key string, roots *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	is.NoErr(err)
	dir := t.TempDir()
	certificate, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	certificatePEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	is.NoErr(os.WriteFile(certificate, certificatePEM, 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	roots = x509.NewCertPool()
	is.True(roots.AppendCertsFromPEM(certificatePEM))
	return certificate, key, roots
}
