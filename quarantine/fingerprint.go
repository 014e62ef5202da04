// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
)

// Fingerprint tells requests apart by what they ask. Two that ask the same of the same
// account have the same one, whatever their ids, the hosts that they come to and the
// headers that differ from try to try.
type Fingerprint struct {
	// Head is of everything but the body's bytes: it tells cheaply that a request isn't
	// one of those that are known.
	Head HeadDigest
	// Body is of the body.
	Body [16]byte
}

// HeadDigest is the part of a Fingerprint that takes no reading of the body.
type HeadDigest [8]byte

// RequestIdentity is what makes two requests the same.
type RequestIdentity struct {
	// Caller is the account, or the key where there is no account.
	Caller string
	Method string
	// Host is the one that the caller named, and Target the path and query as sent.
	Host, Target string
	Body         []byte
}

// HeadDigest digests everything but the body's bytes. The digest isn't keyed, but is one for
// which nobody can make a second request that has another's.
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

// writePart writes a part with its length, so that two parts can't be taken for others
// with the same bytes. A digest's Write returns no error.
func writePart(digest io.Writer, part string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
	_, _ = digest.Write(size[:])
	_, _ = io.WriteString(digest, part)
}

// Fingerprint digests all of it.
func (a *RequestIdentity) Fingerprint() Fingerprint {
	f := Fingerprint{Head: a.HeadDigest()}
	body := sha256.Sum256(a.Body)
	copy(f.Body[:], body[:])
	return f
}

// ParseFingerprint reads what String wrote.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	text, err := hex.DecodeString(s)
	if err != nil || len(text) != len(f.Head)+len(f.Body) {
		return f, fmt.Errorf("%q isn't a request's fingerprint: that has %d hexadecimal digits", s, 2*(len(f.Head)+len(f.Body)))
	}
	copy(f.Body[:], text[copy(f.Head[:], text):])
	return f, nil
}

// String is the fingerprint as logs and operators write it.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f.Head[:]) + hex.EncodeToString(f.Body[:])
}
