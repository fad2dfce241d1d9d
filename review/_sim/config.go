package main

import "net/http"

type (
	httpRequest = http.Request

	// route is a rule of the configuration.
	route struct {
		name, kind, prefix, service, timeout, target string
		public                                       bool
	}

	tenant struct {
		Name           string   `json:"name"`
		APIKeys        []string `json:"apiKeys"`
		RatePerS       float64  `json:"ratePerS"`
		Burst          float64  `json:"burst"`
		AllowedRegions []string `json:"allowedRegions"`
	}
)

const host = "hulo84.example"

// config returns a configuration, as PROTOCOL describes it.
func config(version string, routes []route, services []string, tenants []tenant) map[string]any {
	var rules []any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.name, "kind": r.kind, "targetLatency": r.target, "priority": 1, "public": r.public, "sessionAffinity": true,
			"match":  map[string]any{"pathPrefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout": r.timeout, "maxAttempts": 2, "allowedRegions": []string{}},
		})
	}
	var clusters []any
	for _, s := range services {
		clusters = append(clusters, map[string]any{
			"name": s, "healthCheckPath": "/healthz", "maxConnections": 330, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 5.6,
		})
	}
	c := map[string]any{
		"version":   version,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"listeners": []any{map[string]any{"hostname": host, "ruleSet": rules}},
		"clusters":  clusters,
	}
	if len(tenants) > 0 {
		c["tenants"] = tenants
	}
	return c
}
