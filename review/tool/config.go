package main

// route describes a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, targetMS         int
	attempts                    int
	retained, resumable         bool
}

// tenant describes a tenant of a configuration; its key is "key-" and its name.
type tenant struct {
	name        string
	rate, burst float64
}

// configuration returns a configuration in the format of the platform.
func configuration(version int, routes []route, tenants []tenant) any {
	var list []any
	services := map[string]bool{}
	var serviceList []any
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "type": r.kind, "service": r.service,
			"timeout_ms": r.timeoutMS, "target_latency_ms": r.targetMS, "max_attempts": r.attempts, "priority": 1,
		}
		if r.kind == "streaming" {
			m["gap_target_ms"], m["resumable"], m["session_affinity"] = 250, r.resumable, true
			if r.retained {
				m["retained"], m["retention_s"] = true, 60
			}
		}
		list = append(list, m)
		if services[r.service] {
			continue
		}
		services[r.service] = true
		s := map[string]any{"name": r.service}
		if r.kind == "streaming" {
			s["engine"] = map[string]any{"chunk_tokens": chunkTokens}
		}
		serviceList = append(serviceList, s)
	}
	var tenantList []any
	for _, t := range tenants {
		tenantList = append(tenantList, map[string]any{"name": t.name, "api_keys": []string{"key-" + t.name}, "rate_per_s": t.rate, "burst": t.burst})
	}
	return map[string]any{
		"version": version, "routes": list, "services": serviceList, "tenants": tenantList,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 30000},
	}
}
