package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { plays["keys"] = keys }

// keys has the operator add keys for the devices of many tenants in one version, and take one
// tenant's key away in the next.
func keys(w *world) (bool, error) {
	const (
		revoke   = 5 * time.Second
		deadline = 2 * time.Second
		devices  = 250
		tenants  = 75
		withdraw = "apjsujqurtyiikdrbn4r"
		kept     = "yrbbkf83fgfwrz56aw63"
	)
	routes := []route{{name: "r-desk", kind: "non_idempotent", prefix: "/desk/", service: "desk", timeout: "2000ms", target: "500ms"}}
	services := []string{"desk"}
	all := make([]tenant, tenants)
	for i := range all {
		all[i] = tenant{Name: fmt.Sprintf("cuka%03d", i), APIKeys: []string{fmt.Sprintf("k%03dusualkeyoftenant", i)}, RatePerS: 700, Burst: 700, AllowedRegions: []string{}}
	}
	all[0].APIKeys = []string{withdraw, kept}
	put := func(version string) {
		raw, _ := json.Marshal(config(version, routes, services, all))
		w.store.put("config", "main", json.RawMessage(raw), nil)
		w.record.add("the store acknowledges config/main %s, %d bytes of the 1048576 that an object may have", version, len(raw))
	}
	put("r7")
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
	if !ask(withdraw).whole || !ask(kept).whole {
		return false, errNotRun
	}
	if w.trouble {
		for i := range all {
			for n := range devices {
				all[i].APIKeys = append(all[i].APIKeys, fmt.Sprintf("d%03dx%04dkeyofdevice", i, n))
			}
		}
	}
	put("r12")
	time.Sleep(4 * time.Second)
	all[0].APIKeys = all[0].APIKeys[1:]
	put("r15")
	acknowledged := time.Now()
	w.record.add("from now on the key %s is withdrawn", withdraw)
	time.Sleep(revoke + 500*time.Millisecond)
	ran := 0
	for range 10 {
		k := ask(withdraw)
		if k.sentAt.Sub(acknowledged) > revoke && w.record.runsOf(k.attempt) > 0 {
			ran++
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.record.add("%d of 10 requests that were sent later than %s after the acknowledgement ran with the withdrawn key; the process refused the document: %v", ran, revoke, w.logHas(d, "adopting the document failed"))
	if !ask(kept).whole {
		return false, errNotRun
	}
	return ran > 0, nil
}
