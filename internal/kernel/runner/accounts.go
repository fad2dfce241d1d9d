package runner

import (
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/account/gatekeeper"
	"github.com/waxwingloom/waxwingloom/internal/account/tallier"
	"github.com/waxwingloom/waxwingloom/internal/document/follower"
	"github.com/waxwingloom/waxwingloom/internal/document/keeper"
	"github.com/waxwingloom/waxwingloom/internal/kernel/registrar"
	"github.com/waxwingloom/waxwingloom/internal/kernel/timekeeper"
	"github.com/waxwingloom/waxwingloom/internal/member/heartbeater"
	"github.com/waxwingloom/waxwingloom/internal/platform/storer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
	"github.com/waxwingloom/waxwingloom/platform"
)

// Names of the services that concern client accounts.
const (
	timekeeperName registrar.Name = "timekeeper"
	accountsName   registrar.Name = "accounts"
	talliesName    registrar.Name = "tallies"
)

// maxTalliedAccounts is the number of accounts that the metrics show one by one.
const maxTalliedAccounts = 10

// accountMetrics is what the metrics show of client accounts, under its field names.
type accountMetrics struct {
	gatekeeper.State
	tallier.Summary
}

// registerAccounts registers what checks the accounts of requests. The gatekeeper gets each
// document before the steerer, so that it knows the keys of all accounts that are in force.
func registerAccounts(r *registrar.Registrar, s loader.Settings, log *slog.Logger) {
	r.Register(timekeeperName, []registrar.Name{clockName}, func(f registrar.Finder) (any, func(), error) {
		k, err := timekeeper.New(f.Find(clockName).(clockwork.Clock), timekeeper.BootClock{})
		return k, nil, err
	})
	r.Register(talliesName, nil, func(registrar.Finder) (any, func(), error) { return tallier.New(), nil, nil })
	deps := []registrar.Name{clockName, configName, documentsName, membersName}
	r.Register(accountsName, deps, func(f registrar.Finder) (any, func(), error) {
		k := gatekeeper.New(f.Find(configName).(*follower.Follower), termsOfAccounts(s), f.Find(clockName).(clockwork.Clock), log)
		f.Find(documentsName).(*keeper.Keeper).Subscribe(func(snapshot *keeper.Snapshot) { k.SetDocument(snapshot.Document) })
		f.Find(membersName).(*heartbeater.Heartbeater).SetAccountsStale(k.Stale)
		return k, nil, nil
	})
}

func termsOfAccounts(s loader.Settings) gatekeeper.Terms {
	return gatekeeper.Terms{RevokeTimeout: s.Accounts.RevokeTimeout, MaxApplyDelay: s.Routing.MaxApplyDelay}
}

// maxDelayOf returns the time within which changes of the records of a kind must be known. The
// accounts must be confirmed before they are so old that keys are refused.
func maxDelayOf(s loader.Settings, kind storer.Kind) time.Duration {
	delay := min(s.Routing.MaxApplyDelay, s.Routing.MaxDrainDelay)
	if maxAge := termsOfAccounts(s).MaxAge(); kind == platform.ConfigKind && maxAge > 0 {
		delay = min(delay, maxAge)
	}
	return delay
}

// confirmationOptions returns how often the records of a kind must be confirmed, and by what. A
// confirmation of the accounts must not miss a withdrawn key.
func confirmationOptions(s loader.Settings, kind storer.Kind) []follower.Option {
	opts := []follower.Option{follower.WithMaxDelay(maxDelayOf(s, kind))}
	if kind == platform.ConfigKind && s.Accounts.RevokeTimeout > 0 {
		opts = append(opts, follower.WithListConfirmations())
	}
	return opts
}

// metricsOfAccounts returns what the metrics show of client accounts.
func metricsOfAccounts(f registrar.Finder) accountMetrics {
	return accountMetrics{
		State:   f.Find(accountsName).(*gatekeeper.Gatekeeper).State(),
		Summary: f.Find(talliesName).(*tallier.Tallier).Summary(maxTalliedAccounts),
	}
}
