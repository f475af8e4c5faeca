package viewshare

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/storerev"
)

// watched is a Share that checks every view and table that it takes.
type watched struct {
	*Share

	version  storerev.ConfigVersion
	revision storerev.Revision
}

func newWatched(t *rapid.T) *watched {
	w := &watched{}
	w.Share = &Share{
		Decode: decodeDoc, Clock: newClock(), Logger: slog.New(slog.DiscardHandler),
		OnTable: func(*routetable.Table) {
			require.True(t, w.ConfigVersion().Newer(w.version))
			w.version = w.ConfigVersion()
		},
		OnView: func(v registry.View) {
			require.Greater(t, v.Revision, w.revision)
			require.Equal(t, viewAt(v.Revision), v)
			w.revision = v.Revision
		},
	}
	return w
}

func (w *watched) check(t *rapid.T) {
	// The era of the document in force may rise.
	require.False(t, w.version.Newer(w.ConfigVersion()))
	require.Equal(t, w.version.Number, w.ConfigVersion().Number)
	w.version = w.ConfigVersion()
	require.Equal(t, viewPosition(w.revision), w.held(viewKind))
}

// slowPeer answers from a Share; other events happen before the answer arrives.
type slowPeer struct {
	from      *Share
	meanwhile func()
	fails     bool
}

func (p *slowPeer) call(method string, args, reply any) error {
	var answer FetchReply
	var err error
	if method == configMethod {
		err = service{p.from}.Config(args.(*FetchArgs), &answer)
	} else {
		err = service{p.from}.View(args.(*FetchArgs), &answer)
	}
	if err != nil {
		return err
	}
	p.meanwhile()
	if p.fails {
		return errors.New("connection lost")
	}
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(&answer); err != nil {
		return err
	}
	return gob.NewDecoder(&wire).Decode(reply)
}

func (p *slowPeer) lastRead() time.Time { return time.Time{} }

// inEra returns the revision of a change in an era.
func inEra(t require.TestingT, era, number int64) storerev.Revision {
	r, err := storerev.New(era, number)
	require.NoError(t, err)
	return r
}

// TestNeverFalls: under any interleaving of offers and fetches, also of several eras of the store, versions
// and revisions only rise, every box has the same view for a revision, and a successful fetch brings what the
// peer announced.
func TestNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := []*watched{newWatched(t), newWatched(t), newWatched(t)}
		pick := rapid.SampledFrom(boxes)
		number, eras := rapid.Int64Range(1, 40), rapid.Int64Range(1, 3)
		offer := func(t *rapid.T) {
			b, era := pick.Draw(t, "box"), eras.Draw(t, "era")
			// The operator gives some versions to another document in the next era.
			version := number.Draw(t, "version")
			b.OfferConfig(fmt.Appendf(nil, "%d document %d", version, era/2*(version%2)), era)
			b.OfferView(viewAt(inEra(t, era, number.Draw(t, "revision"))))
		}
		rubbish := func(t *rapid.T) { pick.Draw(t, "box").OfferConfig([]byte("rubbish"), 0) }
		fetch := func(t *rapid.T) {
			to, from := pick.Draw(t, "to"), pick.Draw(t, "from")
			k := kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind"))
			p := &slowPeer{from: from.Share, fails: rapid.Bool().Draw(t, "fails"), meanwhile: func() {
				for range rapid.IntRange(0, 3).Draw(t, "meanwhile") {
					offer(t)
				}
			}}
			want := from.held(k)
			if err := to.fetch(&job{kind: k, from: &peerStatus{}, peer: p, want: want}); err == nil {
				require.False(t, want.newer(to.held(k)))
			} else {
				require.True(t, p.fails || errors.Is(err, errNotNewer), "%v", err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": offer, "rubbish": rubbish, "fetch": fetch,
			"": func(t *rapid.T) {
				for _, b := range boxes {
					b.check(t)
				}
			},
		})
	})
}
