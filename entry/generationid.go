// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// GenerationID identifies a generation to its caller. It holds the location of the run, so that any
// entry can resume the run, and a MAC that protects the location against forgery.
type GenerationID string

// runLocation is the content of a generation id: the engine that has the run, and the caller's
// account and route.
type runLocation struct {
	Engine  member.UpstreamID
	Run     policy.RunID
	Account resource.Account
	Route   resource.Name
}

const (
	generationIDPrefix = "gen_"
	generationMACBytes = 16
	locationFieldCount = 4
)

// signGenerationID returns the truncated MAC of an encoded location.
func signGenerationID(key []byte, text string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("shedpath generation 1\x00"))
	mac.Write([]byte(text))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:generationMACBytes])
}

func newGenerationID(key []byte, location runLocation) GenerationID {
	fields := strings.Join([]string{string(location.Engine), string(location.Run), string(location.Account), string(location.Route)}, "\x00")
	text := base64.RawURLEncoding.EncodeToString([]byte(fields))
	return GenerationID(generationIDPrefix + text + "." + signGenerationID(key, text))
}

// errInvalidGenerationID reports a generation id that no entry of this site issued.
var errInvalidGenerationID = trace.AccessDenied("the generation id was not issued by an entry of this site")

// decode checks the MAC of a generation id and returns the location in it.
func (id GenerationID) decode(key []byte) (runLocation, error) {
	text, prefixed := strings.CutPrefix(string(id), generationIDPrefix)
	text, mac, signed := strings.Cut(text, ".")
	if !prefixed || !signed || !hmac.Equal([]byte(mac), []byte(signGenerationID(key, text))) {
		return runLocation{}, errInvalidGenerationID
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return runLocation{}, errInvalidGenerationID
	}
	fields := strings.Split(string(raw), "\x00")
	if len(fields) != locationFieldCount {
		return runLocation{}, errInvalidGenerationID
	}
	return runLocation{
		Engine: member.UpstreamID(fields[0]), Run: policy.RunID(fields[1]),
		Account: resource.Account(fields[2]), Route: resource.Name(fields[3]),
	}, nil
}

// EventID returns the id of a token's event, which consists of the generation id and the token's
// index.
func (id GenerationID) EventID(index int) string {
	return string(id) + ":" + strconv.Itoa(index)
}

// ParseEventID splits an event id into the generation id and the token's index. It doesn't check
// the MAC.
func ParseEventID(event string) (GenerationID, int, error) {
	id, indexText, found := strings.Cut(event, ":")
	index, err := strconv.Atoi(indexText)
	if !found || err != nil || index < 0 {
		return "", 0, trace.BadParameter("Last-Event-ID %q is not GENERATION:INDEX", event)
	}
	return GenerationID(id), index, nil
}
