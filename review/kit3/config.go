package main

// Names of the routes' services and prefixes.
const (
	engineService = "huvo11a"
	plainService  = "wuno96b"
	modelName     = "daka510000"
	rolloutPrefix = "/pule252/"
	scorePrefix   = "/pufi791/"
	longPrefix    = "/lohu930/"
)

// route is a route of the config.
type route map[string]any

// rolloutRoute is the route of batch submissions, with the figures of the sheet.
func rolloutRoute() route {
	return route{
		"name": "r-pule", "hostname": hostname, "path-prefix": rolloutPrefix, "route-kind": "rollout",
		"timeout-ms": 10000, "slo-ms": 500, "priority": 0, "service": engineService, "max-attempts": 3,
		"public": false, "resumable": true, "run-deadline-ms": 7500, "queue-ttl-s": 40,
	}
}

// scoreRoute is the route of reward calls.
func scoreRoute() route {
	return route{
		"name": "r-pufi", "hostname": hostname, "path-prefix": scorePrefix, "route-kind": "idempotent",
		"timeout-ms": 2000, "slo-ms": 400, "priority": 2, "service": plainService, "max-attempts": 4, "public": true,
	}
}

// putConfig writes the first config.
func (w *world) putConfig(routes ...route) { w.putRoutes(configVersion, routes...) }

// putRoutes writes a version of the config as the operator does.
func (w *world) putRoutes(version int, routes ...route) {
	w.store.put("op", "config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{
			{
				"name": engineService, "health-path": "/healthz", "max-conns": 140, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": replicaSlots, "kv-capacity": 46180, "models": modelList()},
			},
			{"name": plainService, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false},
			{"name": "wuno97c", "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []map[string]any{{"name": tenantName, "api-keys": []string{apiKey}, "priority": 1}},
	})
	w.rec.printf("operator: the store has confirmed config %d", version)
}

// modelList is the list of the models in the config.
func modelList() []map[string]any {
	var list []map[string]any
	for _, name := range models {
		list = append(list, map[string]any{"name": name})
	}
	return list
}
