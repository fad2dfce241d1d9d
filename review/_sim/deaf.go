package main

import (
	"time"
)

func init() { plays["deaf"] = deaf }

// deaf has the operator replace a tenant's key while the store's watches hear nothing. The store
// then drops its history and is down. A client has used the new key shortly before that.
func deaf(w *world) (bool, error) {
	const (
		revoke   = 5 * time.Second
		deadline = 2 * time.Second
		deafFor  = time.Second
		downFor  = 4500 * time.Millisecond
		old      = "apjsujqurtyiikdrbn4r"
		kept     = "yrbbkf83fgfwrz56aw63"
		next     = "mw2fq8zt4hh7kd0x5c1b"
	)
	routes := []route{{name: "r-desk", kind: "non_idempotent", prefix: "/desk/", service: "desk", timeout: "2000ms", target: "500ms"}}
	put := func(version string, keys ...string) {
		w.store.put("config", "main", config(version, routes, []string{"desk"}, []tenant{
			{Name: "cuka620", APIKeys: keys, RatePerS: 700, Burst: 700, AllowedRegions: []string{}},
		}), nil)
		w.record.add("the store acknowledges config/main %s with the keys %v", version, keys)
	}
	put("r7", old, kept)
	if err := w.backend("i-desk", "desk", func(string) job { return job{work: 5 * time.Millisecond, bytes: 400} }); err != nil {
		return false, err
	}
	t := usualTerms
	t.revoke = "5000ms"
	d, err := w.readyDaemon(t)
	if err != nil {
		return false, err
	}
	ask := func(key string) *call {
		k := newCall("POST", host, "/desk/2f", deadline)
		k.key, k.body = key, []byte("order")
		do(w.record, d.front, k)
		return k
	}
	if !ask(old).whole || !ask(kept).whole {
		return false, errNotRun
	}
	if w.trouble {
		w.record.add("watches hear nothing for %s", deafFor)
		w.store.setDeaf(true)
	}
	put("r12", kept, next)
	acknowledged := time.Now()
	time.Sleep(time.Until(acknowledged.Add(800 * time.Millisecond)))
	ask(next)
	time.Sleep(time.Until(acknowledged.Add(deafFor - 20*time.Millisecond)))
	downSince := time.Now()
	if w.trouble {
		w.record.add("the store drops its history and is silent for %s", downFor)
		w.store.setSilent(true)
		w.store.setDeaf(false)
	}
	ran := 0
	time.Sleep(time.Until(acknowledged.Add(revoke + 20*time.Millisecond)))
	for time.Since(downSince) < downFor-100*time.Millisecond {
		k := ask(old)
		if k.sentAt.Sub(acknowledged) > revoke && w.record.runsOf(k.attempt) > 0 {
			ran++
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(downSince.Add(downFor - 20*time.Millisecond)))
	if w.trouble {
		w.store.setSilent(false)
		w.record.add("the store answers again")
	}
	time.Sleep(3 * time.Second)
	w.record.add("%d requests that were sent later than %s after the acknowledgement ran with the withdrawn key", ran, revoke)
	if !ask(next).whole {
		return false, errNotRun
	}
	return ran > 0, nil
}
