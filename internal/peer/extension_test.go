// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/forward"
)

// TestShareWithEarlierVersions guards against hosts that can't exchange shares while a site is
// updated: an earlier version decodes a frame and a share as one value each, sends no extension, and a
// later one may add fields to it.
func TestShareWithEarlierVersions(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	sent := forward.Share{
		From: forward.Peer{ID: "h1"}, Epoch: 7,
		Reports: []enginereport.Mark{{Engine: "e", Load: enginereport.Load{Used: 5}}}, ReportRequests: []enginereport.Request{{Remaining: time.Second}},
	}
	w := toWireShare(now, sent)
	body, err := encode(&w)
	is.NoErr(err)
	message, err := appendFrame(nil, &frame{ID: 1, Kind: kindShare, Body: body})
	is.NoErr(err)

	var earlierFrame frame
	is.NoErr(msgpack.Unmarshal(message[frameHeaderBytes:], &earlierFrame))
	var earlier wireShare
	is.NoErr(msgpack.Unmarshal(earlierFrame.Body, &earlier))
	is.Equal(earlier.Epoch, sent.Epoch)
	is.Equal(len(earlier.Extension.Reports), 0)

	f, err := readFrame(bytes.NewReader(message))
	is.NoErr(err)
	var present, fromEarlier, fromLater wireShare
	is.NoErr(decode(f.Body, &present))
	is.Equal(present.share(now).Reports, sent.Reports)
	is.NoErr(decode(earlierFrame.Body, &fromEarlier))
	is.Equal(fromEarlier.Epoch, sent.Epoch)
	is.Equal(len(fromEarlier.share(now).Reports), 0)

	extension, err := msgpack.Marshal(map[string]any{"Later": []int{1}, "Reports": []map[string]any{{"Engine": "e", "Later": 2}}})
	is.NoErr(err)
	is.NoErr(decode(append(earlierFrame.Body, extension...), &fromLater))
	is.Equal(fromLater.Extension.Reports, []wireEngineReport{{Engine: "e"}})

	w.Extension = shareExtension{}
	plain, err := encode(&w)
	is.NoErr(err)
	is.Equal(plain, []byte(earlierFrame.Body)) // nothing is sent where there is nothing to tell
}
