// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies what crashes of upstreams count against: a request by its content, or a
// part of prompts. Two requests of the same account with the same content have the same
// fingerprint, whatever their request IDs, the hosts that receive them, and the headers that differ
// between retries.
type Fingerprint struct {
	// Head covers everything but the bytes of the body. It is a cheap way to see that a request
	// isn't among the known ones.
	Head HeadDigest
	// Body is the digest of the body.
	Body [16]byte
}

// HeadDigest is the part of a Fingerprint that can be computed without reading the body.
type HeadDigest [8]byte

// PartID identifies a part of a prompt by its content, as callers name it.
type PartID string

// partTag begins the Body of the fingerprint of each part; the beginning of the part's ID follows, so
// that operators recognize the part at every host.
const partTag = "part:"

// PartFingerprint returns the fingerprint of a part of the prompts of a service, which is the same
// for all accounts. The digest needn't resist forgery, because any caller may name any part. Writing
// to it returns no error.
func PartFingerprint(service string, part PartID) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(part))
	var f Fingerprint
	binary.BigEndian.PutUint64(f.Head[:], digest.Sum64())
	copy(f.Body[copy(f.Body[:], partTag):], part)
	return f
}

// IsPart reports whether the fingerprint is that of a part.
func (f Fingerprint) IsPart() bool { return string(f.Body[:len(partTag)]) == partTag }

// Part returns the part's ID, of which it may have the beginning only; empty if the fingerprint isn't
// that of a part.
func (f Fingerprint) Part() PartID {
	if !f.IsPart() {
		return ""
	}
	return PartID(bytes.TrimRight(f.Body[len(partTag):], "\x00"))
}

// RequestIdentity holds the properties by which two requests count as the same, and the parts of
// the request's prompt.
type RequestIdentity struct {
	// Caller is the account, or the API key if there is no account.
	Caller string
	Method string
	// Host is the host name that the caller sent, and Target the path and query as sent.
	Host, Target string
	Body         []byte
	// Service runs the request, and SharedParts are the parts of its prompt that other prompts may
	// share. Neither is in the digests.
	Service     string
	SharedParts []PartID
}

// MaxParts bounds the parts of a prompt that are looked at, because callers may name thousands. Each
// takes some 80 us on a full list when an upstream ends.
const MaxParts = 64

// partFingerprints returns the fingerprints of the first MaxParts shared parts, in order.
func (a *RequestIdentity) partFingerprints() []Fingerprint {
	if len(a.SharedParts) == 0 {
		return nil
	}
	known := a.SharedParts[:min(len(a.SharedParts), MaxParts)]
	parts := make([]Fingerprint, len(known))
	for n, part := range known {
		parts[n] = PartFingerprint(a.Service, part)
	}
	return parts
}

// HeadDigest returns the digest of everything but the bytes of the body; their number is
// included. The digest isn't keyed, but it resists attempts to make another request with the same
// digest.
func (a *RequestIdentity) HeadDigest() HeadDigest {
	digest := sha256.New()
	for _, part := range []string{a.Caller, a.Method, a.Host, a.Target} {
		writePart(digest, part)
	}
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(a.Body)))
	writePart(digest, string(size[:]))
	var head HeadDigest
	copy(head[:], digest.Sum(nil))
	return head
}

// writePart writes a part preceded by its length, so that the same bytes divided into other parts
// give another digest. The Write method of a digest returns no error.
func writePart(digest io.Writer, part string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = digest.Write(size[:])
	_, _ = io.WriteString(digest, part)
}

// Fingerprint returns the digests of the whole request.
func (a *RequestIdentity) Fingerprint() Fingerprint {
	f := Fingerprint{Head: a.HeadDigest()}
	body := sha256.Sum256(a.Body)
	copy(f.Body[:], body[:])
	return f
}

// ParseFingerprint parses the output of Fingerprint.String.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	text, err := hex.DecodeString(s)
	if err != nil || len(text) != len(f.Head)+len(f.Body) {
		return f, fmt.Errorf("%q isn't a request's fingerprint: that has %d hexadecimal digits", s, 2*(len(f.Head)+len(f.Body)))
	}
	copy(f.Body[:], text[copy(f.Head[:], text):])
	return f, nil
}

// String returns the fingerprint in hexadecimal, as logs and operators write it.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f.Head[:]) + hex.EncodeToString(f.Body[:])
}
