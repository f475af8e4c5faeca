package inject

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/proxy"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

const (
	// leastDelay and moreDelay bound the delay of a slow link: up to the longest
	// objective.
	leastDelay = 5 * time.Millisecond
	moreDelay  = 500 * time.Millisecond
)

// onLink reports whether a kind disturbs links.
func onLink(kind history.Kind) bool {
	return slices.ContainsFunc([]string{schedule.CallersLink, schedule.StoreLink, schedule.ServersLinks},
		func(prefix string) bool { return strings.HasPrefix(string(kind), prefix) })
}

// link disturbs the links of callers to a box, of a box to the store, or to a server.
func (i *Injector) link(ctx context.Context, a schedule.Act, box Box) {
	if how, ok := strings.CutPrefix(string(a.Kind), schedule.CallersLink); ok {
		i.disturb(ctx, a, history.OnBox, box.Process.Name, func() func() { return impair(box.Callers, how, a.Pick) })
		return
	}
	if how, ok := strings.CutPrefix(string(a.Kind), schedule.StoreLink); ok {
		i.disturb(ctx, a, history.OnStoreLink, box.Process.Name, func() func() { return impair(box.Store, how, a.Pick) })
		return
	}
	how := strings.TrimPrefix(string(a.Kind), schedule.ServersLinks)
	server, link := i.Fleet.At(a.Target)
	i.disturb(ctx, a, history.OnServer, server.ID, func() func() { return impair(link, how, a.Pick) })
}

// impair disturbs a proxy in the way that a kind of package schedule names.
func impair(p *proxy.Proxy, how string, pick int) (mend func()) {
	switch how {
	case schedule.Slow:
		return p.Impair(proxy.Fault{Delay: leastDelay + time.Duration(pick)*time.Millisecond%moreDelay})
	case schedule.Reset:
		return p.Impair(proxy.Fault{Refuse: true})
	case schedule.CutForth:
		return p.Impair(proxy.Fault{Forth: true})
	case schedule.CutBack:
		return p.Impair(proxy.Fault{Back: true})
	case schedule.Silent:
		return p.Impair(proxy.Fault{Forth: true, Back: true})
	}
	panic(fmt.Sprintf("no way to disturb a link: %q", how))
}
