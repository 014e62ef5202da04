// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/shedpath/shedpath/member"
)

// Each side sends a fresh nonce and proves that it has the key by a MAC over
// its role, both nonces and the dialer's name.
//
//	acceptor -> dialer    nonce
//	dialer   -> acceptor  nonce, length of name, name, MAC
//	acceptor -> dialer    MAC

const (
	nonceBytes       = 16
	macBytes         = sha256.Size
	handshakeTimeout = 2 * time.Second
)

const (
	dialerRole   = "shedpath peer dialer 1"
	acceptorRole = "shedpath peer acceptor 1"
)

// handshakeMAC returns the MAC by which the sender of sentNonce proves to the sender of
// receivedNonce that it has the key. name is the dialer's.
func handshakeMAC(key []byte, role string, receivedNonce, sentNonce []byte, name string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(receivedNonce)
	mac.Write(sentNonce)
	mac.Write([]byte(name))
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// rand.Read never fails.
	_, _ = rand.Read(nonce)
	return nonce
}

// handshakeAsDialer performs the dialer's side of the handshake.
func handshakeAsDialer(conn net.Conn, key []byte, self member.HostID) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return trace.Wrap(err)
	}
	acceptorNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, acceptorNonce); err != nil {
		return trace.Wrap(err)
	}
	dialerNonce, name := newNonce(), string(self)
	var hello bytes.Buffer
	hello.Write(dialerNonce)
	hello.WriteByte(byte(len(name)))
	hello.WriteString(name)
	hello.Write(handshakeMAC(key, dialerRole, acceptorNonce, dialerNonce, name))
	if _, err := conn.Write(hello.Bytes()); err != nil {
		return trace.Wrap(err)
	}
	mac := make([]byte, macBytes)
	if _, err := io.ReadFull(conn, mac); err != nil {
		return trace.AccessDenied("the peer ended the handshake, its key may differ: %v", err)
	}
	if !hmac.Equal(mac, handshakeMAC(key, acceptorRole, dialerNonce, acceptorNonce, name)) {
		return trace.AccessDenied("the peer's key differs from this host's")
	}
	return conn.SetDeadline(time.Time{})
}

// handshakeAsAcceptor performs the acceptor's side of the handshake and returns the dialer's name.
func handshakeAsAcceptor(conn net.Conn, key []byte) (member.HostID, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", trace.Wrap(err)
	}
	acceptorNonce := newNonce()
	if _, err := conn.Write(acceptorNonce); err != nil {
		return "", trace.Wrap(err)
	}
	head := make([]byte, nonceBytes+1)
	if _, err := io.ReadFull(conn, head); err != nil {
		return "", trace.Wrap(err)
	}
	dialerNonce, nameLength := head[:nonceBytes], int(head[nonceBytes])
	rest := make([]byte, nameLength+macBytes)
	if _, err := io.ReadFull(conn, rest); err != nil {
		return "", trace.Wrap(err)
	}
	name, mac := string(rest[:nameLength]), rest[nameLength:]
	if !hmac.Equal(mac, handshakeMAC(key, dialerRole, acceptorNonce, dialerNonce, name)) {
		return "", trace.AccessDenied("a peer that claims to be %q has a key that differs from this host's", name)
	}
	if _, err := conn.Write(handshakeMAC(key, acceptorRole, dialerNonce, acceptorNonce, name)); err != nil {
		return "", trace.Wrap(err)
	}
	return member.HostID(name), conn.SetDeadline(time.Time{})
}
