package main

import (
	"net/http"
	"time"
)

// runSlashes sends a request whose path begins with two slashes on a route for all paths, and checks the path that the server sees.
func runSlashes(f *fleet, trouble bool) (bool, error) {
	log := &runLog{}
	if err := f.startServer(&server{log: log, service: "depot-app", zone: zones[0], slots: 6, work: 20 * time.Millisecond}); err != nil {
		return false, err
	}
	f.platform.Set("config", "main", configuration(1, []route{
		{name: "all", prefix: "/", kind: "non_idempotent", service: "depot-app", timeoutMS: 2000, targetMS: 200, attempts: 1},
	}, []tenant{{"alma", 100, 100}}))
	if err := f.start(2, 3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	target := "/orders/cancel/7"
	if trouble {
		target = "//orders/cancel/7"
	}
	for _, e := range f.entries {
		q := request{id: "r-" + e.name, method: http.MethodPost, target: target, key: "key-alma", body: "order 7", deadline: 2 * time.Second}
		r := send(e.frontend, &q)
		f.record.note("client sends %s %s as %s to %s: %s", q.method, q.target, q.id, e.name, &r)
	}
	broken := false
	for _, v := range log.all() {
		f.record.note("server %s ran %s: %s %s", v.server, v.id, v.method, v.target)
		broken = broken || v.target != target
	}
	return broken, nil
}
