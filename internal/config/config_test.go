package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift"
)

// validSettings is a valid configuration file. Tests derive invalid ones from it by replacing text.
const validSettings = `{"name":"n3","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":2048,"sockets":512},"known":{"seq":41},"novel":true,
"settings":{"balancers":2,"slotNo":1,"dcs":["a","b"],"zone":"b","flavors":["k"],
"bounds":{"peerMessages":true,"connectTimeout":5},
"grades":[{"name":"reading","aim":5,"deadline":9,"effect":"idempotent"},
{"name":"ratify","aim":5,"deadline":9,"effect":"at_most_once"}],
"projects":[{"name":"islands","quotaRps":2.0}],"familyInfo":{"classStretch":[2.5,2.0]}}}`

// load writes text to a configuration file and loads it with the environment variables in env.
func load(t *testing.T, text string, env map[string]string) (*Scheduler, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(environment(path, env))
}

// environment returns a getenv function: LB_CONFIG is path, the other variables are in env.
func environment(path string, env map[string]string) func(string) string {
	return func(key string) string {
		if key == "LB_CONFIG" {
			return path
		}
		return env[key]
	}
}

// At the start LB_DISCOVERY takes precedence over the file. On a reload the file takes precedence over LB_DISCOVERY.
// The other variables always take precedence over the file.
func TestReloadPrecedence(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := environment(path, map[string]string{"LB_DISCOVERY": "127.0.0.9:9", "LB_LISTEN": "127.0.0.2:0"})
	for _, c := range []struct {
		text string
		read func(func(string) string) (*Scheduler, error)
		want string
	}{
		{validSettings, Load, "127.0.0.9:9"},
		{validSettings, Reload, "127.0.0.1:8500"},
		{strings.Replace(validSettings, `"discovery"`, `"other"`, 1), Reload, "127.0.0.9:9"},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := c.read(env); err != nil || s.Discovery != c.want || s.Listen != "127.0.0.2:0" {
			t.Errorf("read %+v, %v; want discovery %s and listen 127.0.0.2:0", s, err, c.want)
		}
	}
}

// A valid file is read with all its values, and environment variables override them.
func TestLoad(t *testing.T) {
	s, err := load(t, validSettings, map[string]string{"LB_LISTEN": "127.0.0.2:0"})
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "n3" || s.Listen != "127.0.0.2:0" || s.Discovery != "127.0.0.1:8500" || s.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("Load() = %+v, want the name, discovery and seed of the file and the listen address of LB_LISTEN", s)
	}
	if s.MemoryMB != maxMemoryMB || s.MaxDescriptors != 512 || string(s.CachedEndpoints) != `{"seq":41}` {
		t.Errorf("Load() = %+v, want memory %d MB, 512 descriptors and the cached endpoints of the file", s, maxMemoryMB)
	}
	c := s.Settings
	if c.Module.Zone != 1 || c.Classes["ratify"] != 1 || c.Tenants["islands"] != 0 || c.ConnectTimeout != 5 ||
		c.Module.Classes[0].ObjectiveStretch != 2.5 || c.Module.Classes[1].Effect != foxlift.AtMostOnce {
		t.Errorf("Load().Settings = %+v, want the zone, classes, tenants and connect timeout of the file", c)
	}
	if c.Module.MayGossip {
		t.Error("MayGossip = true without peer_listen, want false")
	}
	if s.Admin != "" {
		t.Errorf("Admin = %q without an operators' address, want \"\"", s.Admin)
	}
	const admin = "127.0.0.3:4000"
	if s, err := load(t, validSettings, map[string]string{"LB_ADMIN": admin}); err != nil || s.Admin != admin {
		t.Errorf("Load() with LB_ADMIN = %+v, %v, want operators' address %s", s, err, admin)
	}
	peers := `"peer_listen":"127.0.0.1:7","peers":["127.0.0.1:1","127.0.0.1:2"],"peers_all":"127.0.0.1:3"`
	withPeers := strings.Replace(validSettings, `"novel":true`, peers, 1)
	for text, want := range map[string]bool{
		withPeers: true,
		strings.Replace(withPeers, `"peerMessages":true`, `"x":1`, 1):              false,
		strings.Replace(withPeers, `"balancers":2,"slotNo":1`, `"balancers":1`, 1): false,
	} {
		s, err := load(t, text, nil)
		if err != nil || s.Settings.Module.MayGossip != want || (s.Peers.Listen != "") != want {
			t.Errorf("Load() = %v, %v, want gossip %v", s, err, want)
		}
	}
}

// The error of an invalid configuration is one line that names the key.
func TestErrorsNameTheKey(t *testing.T) {
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("Load() without LB_CONFIG: error %v, want one that names LB_CONFIG", err)
	}
	for _, c := range []struct{ old, new, key string }{
		{`{"name"`, `"name"`, "LB_CONFIG"},
		{`"n3"`, `3`, "name"},
		{`"127.0.0.1:3000"`, `""`, "listen"},
		{`"127.0.0.1:3000"`, `"127.0.0.1"`, "listen"},
		{`"127.0.0.1:3000"`, `"127.0.0.1:70000"`, "listen"},
		{`"127.0.0.1:8500"`, `"127.0.0.1:0"`, "discovery"},
		{`"novel":true`, `"admin":"127.0.0.1"`, "admin"},
		{`"novel":true`, `"admin":"127.0.0.1:70000"`, "admin"},
		{`"novel":true`, `"admin":"127.0.0.1:3000"`, "admin"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`2048`, `8`, "limits.memory_mb"},
		{`512`, `-1`, "limits.sockets"},
		{`512`, `"many"`, "limits.sockets"},
		{`"settings"`, `"other"`, "settings"},
		{`"slotNo":1`, `"slotNo":2`, "settings.slotNo"},
		{`"balancers":2`, `"balancers":0`, "settings.balancers"},
		{`"grades":[`, `"grades":[],"novel":[`, "settings.grades"},
		{`"quotaRps":2.0`, `"share":1.2`, "settings.projects[0].share"},
		{`"flavors"`, `"obligations":{"startCapacity":1.5},"flavors"`, "settings.obligations.startCapacity"},
		{`"aim":5`, `"aim":-5`, "settings.grades[0].aim"},
		{`"aim":5`, `"aim":"5"`, "settings.grades"},
		{`"deadline":9`, `"deadline":0`, "settings.grades[0].deadline"},
		{`idempotent`, `sometimes`, "settings.grades[0]: unknown effect"},
		{`"name":"ratify"`, `"name":"reading"`, "settings.grades[0].name"},
		{`"quotaRps":2.0`, `"quotaRps":-2.0`, "settings.projects[0].quotaRps"},
		{`"connectTimeout":5`, `"connectTimeout":-5`, "settings.bounds.connectTimeout"},
		{`"familyInfo":{`, `"familyInfo":{"classKind":[4],`, "settings.familyInfo.classKind[0]"},
		{`"novel":true`, `"peer_listen":"127.0.0.1"`, "peer_listen"},
		{`"novel":true`, `"peer_listen":"127.0.0.1:0"`, "peers"},
		{`"novel":true`, `"peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1","127.0.0.1:0"]`, "peers[1]"},
		{`"novel":true`, `"peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1","127.0.0.1:2"],"peers_all":"x"`, "peers_all"},
		{`"flavors"`, `"report":{"names":["x0","x0"]},"flavors"`, "settings.report.names[1]"},
	} {
		if !strings.Contains(validSettings, c.old) {
			t.Fatalf("%s is not in validSettings", c.old)
		}
		_, err := load(t, strings.Replace(validSettings, c.old, c.new, 1), nil)
		if err == nil || !strings.Contains(err.Error(), c.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("Load() with %s for %s: error %v, want one line that names %s", c.new, c.old, err, c.key)
		}
	}
}

// 16 hex digits are the affinity key itself, other text is hashed, and empty text is no key.
func TestParseAffinityKey(t *testing.T) {
	if k := ParseAffinityKey([]byte("91f03b7c55d20a64")); k != 0x91f03b7c55d20a64 {
		t.Errorf("ParseAffinityKey(91f03b7c55d20a64) = %x", k)
	}
	if ParseAffinityKey(nil) != 0 || ParseAffinityKey([]byte("user-1")) == ParseAffinityKey([]byte("user-2")) ||
		ParseAffinityKey([]byte("user-1")) == 0 {
		t.Error("ParseAffinityKey() of text that is not hex: want different keys, and 0 only for empty text")
	}
}
