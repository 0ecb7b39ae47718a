package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// placeholders holds the values that the platform fills into the templates.
var placeholders = map[string]string{
	"node_name": `"edge-1"`, "zone": `"norra"`, "region": `"svealand"`, "ip": `"10.1.0.11"`, "internal_ports": `[7780,7795]`,
	"listen.frontend": `"10.1.0.11:8368"`, "listen.readiness": `"10.1.0.11:8369"`, "listen.directory": `"10.1.0.11:8360"`,
	"platform.address": `"10.200.1.7:8362"`, "fault_tolerance.nodes": "1", "limits.memory_mb": "284", "limits.disk_mb": "490", "bounds.grace_s": "8",
	"bounds.ttl_max_s": "5", "bounds.config_apply_ms": "2000", "bounds.drain_ms": "2000", "bounds.quota_window_s": "5", "bounds.quota_overage": "0.1", "data_dir": `"/data/store"`,
}

func render(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../deploy/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return regexp.MustCompile(`\{\{([a-z_.]+)\|json\}\}`).ReplaceAllStringFunc(string(data), func(m string) string {
		v, ok := placeholders[strings.TrimSuffix(strings.TrimPrefix(m, "{{"), "|json}}")]
		if !ok {
			t.Errorf("%s: placeholder %s is not known", name, m)
		}
		return v
	})
}

// A template with a wrong field name or type would keep every process of its role from starting.
func TestTemplates(t *testing.T) {
	for name, role := range map[string]string{"entry.json": RoleEntry, "store.json": RoleStore} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := ParseRole(name, []byte(render(t, name)))
			is.NoErr(err)
			is.Equal(r.Role, role)
			is.Equal(string(r.Internal()), "10.1.0.11:7780")
			is.Equal(r.Tolerance, 1)
			is.Equal(r.RateWindow, 5.0)
		})
	}
}

// One error must name every invalid field.
func TestRoleErrors(t *testing.T) {
	is := is.New(t)
	_, err := ParseRole("f", []byte(`{"vm": "a b", "role": "control", "ports": [1], "platform": "host", "tolerance": -1, "space": -1, "overage": -1, "answers": {"head": -1, "body": -1, "event": -1, "output": -1}, "other": 1}`))
	is.True(err != nil)
	for _, field := range []string{"vm", "role", "domain", "ip", "ports", "platform", "tolerance", "space", "memory", "grace", "apply", "drain", "window", "overage", "answers.head", "answers.body", "answers.event", "answers.output", "other"} {
		is.True(strings.Contains(err.Error(), field+": "))
	}
}
