package runner

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/account/lender"
	"github.com/waxwingloom/waxwingloom/internal/account/limiter"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/registrar"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/peer/messenger"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

// limitsName is the service that keeps the limits of accounts.
const limitsName registrar.Name = "limits"

// sendTime is the longest time between the token of a request and the request at an upstream
// for which limits are kept: the longest network path, and the time that a VM may lack
// processor time.
const sendTime = 50 * time.Millisecond

func registerLimits(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	deps := []registrar.Name{portsName, clockName, peersName, membersName, documentsName}
	r.Register(limitsName, deps, func(f registrar.Finder) (any, func(), error) {
		terms := limiter.Terms{
			Window: s.Accounts.LimitWindow, Overage: s.Accounts.LimitOverage, Slack: s.Accounts.LimitSlack,
			Zones: len(s.Regions), SendTime: sendTime,
		}
		timing := limiter.Timing{HeartbeatInterval: s.Timing.HeartbeatInterval, SuspectTimeout: s.Timing.SuspectTimeout}
		own := f.Find(portsName).(*listeners).peerAddress(s)
		seeded := slices.ContainsFunc(s.Seeds, func(seed string) bool { return seed != own })
		self := lender.Self{VM: s.VM, Zone: s.Zone, Zones: slices.Sorted(maps.Keys(s.Regions)), Seeded: seeded}
		members := f.Find(membersName).(*heartbeater.Heartbeater)
		l, cleanup := lender.New(self, terms, timing, lender.Dependencies{Peers: f.Find(peersName).(*messenger.Messenger), Members: members}, f.Find(clockName).(clockwork.Clock), log)
		f.Find(documentsName).(*keeper.Keeper).Subscribe(func(snapshot *keeper.Snapshot) { l.SetDocument(snapshot.Document) })
		return l, cleanup, nil
	})
}
