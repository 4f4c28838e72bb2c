// Package config is the one place that reads the scheduler's configuration: the
// LB_* variables and the file that LB_CONFIG names. It checks every value, gives
// defaults, and names the faulty key in its errors. The deployment's settings
// become the decision module's Config here, for the real scheduler and for the
// simulator's adapter.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
)

// What a scheduler may use at most, whatever it is offered.
const (
	maxMemoryMB = 192
	maxSockets  = 1024
	minMemoryMB = 32
	minSockets  = 64
)

// A Scheduler is the whole configuration of one scheduler.
type Scheduler struct {
	Name      string
	Listen    string // address:port for submitters
	Admin     string // address:port for the operators' calls; "": there is none
	Discovery string // address:port of discovery
	Seed      uint64
	MemoryMB  int
	Sockets   int             // file descriptors
	Known     json.RawMessage // the machine list as last known, in discovery's form; may be empty
	Settings  *Settings
	Peers     Peers // the zero value where schedulers do not speak with each other
}

// Peers are the addresses by which schedulers send each other datagrams.
type Peers struct {
	Listen string   // where this one receives; "": it does not speak with others
	Each   []string // of every scheduler by its number, this one's included
	All    string   // reaches all others at once; "": there is no such address
}

type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Admin     string `json:"admin"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	PeersAll   string   `json:"peers_all"`

	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the configuration from the environment that getenv shows. A
// variable stands above the file's value of the same name.
func Load(getenv func(string) string) (*Scheduler, error) { return read(getenv, false) }

// Reload reads it again at a running scheduler. What has changed since the start is
// the file: its discovery stands above the variable.
func Reload(getenv func(string) string) (*Scheduler, error) { return read(getenv, true) }

func read(getenv func(string) string, again bool) (*Scheduler, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("LB_CONFIG: not set; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", keyError(err))
	}
	s := &Scheduler{Name: f.Name, Listen: f.Listen, Admin: f.Admin, Discovery: f.Discovery, Known: f.Known}
	for _, v := range []struct {
		key string
		to  *string
	}{{"LB_NAME", &s.Name}, {"LB_LISTEN", &s.Listen}, {"LB_ADMIN", &s.Admin}, {"LB_DISCOVERY", &s.Discovery}} {
		if x := getenv(v.key); x != "" && !(again && v.to == &s.Discovery && *v.to != "") {
			*v.to = x
		}
	}
	if s.Name == "" {
		s.Name = "foxlift"
	}
	if err := checkAddress("listen (LB_LISTEN)", s.Listen, 0); err != nil {
		return nil, err
	}
	if err := checkAddress("discovery (LB_DISCOVERY)", s.Discovery, 1); err != nil {
		return nil, err
	}
	if err := checkAdmin(s.Admin, s.Listen); err != nil {
		return nil, err
	}
	if f.Seed != "" {
		if s.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", f.Seed)
		}
	}
	if s.MemoryMB, err = limitOrDefault("limits.memory_mb", int(f.Limits.MemoryMB), minMemoryMB, maxMemoryMB); err != nil {
		return nil, err
	}
	if s.Sockets, err = limitOrDefault("limits.sockets", f.Limits.Sockets, minSockets, maxSockets); err != nil {
		return nil, err
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("settings: not given")
	}
	if s.Settings, err = ParseSettings(f.Settings); err == nil {
		err = s.Settings.checkScheduler()
	}
	if err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	return s, s.setPeers(f.PeerListen, f.Peers, f.PeersAll)
}

// setPeers takes the peers' addresses where the settings allow messages and there is
// somebody to send them to. Elsewhere nothing is opened for them.
func (s *Scheduler) setPeers(listen string, each []string, all string) error {
	c := &s.Settings.Module
	c.MayGossip = c.MayGossip && listen != "" && c.Dispatchers > 1
	if !c.MayGossip {
		return nil
	}
	if err := checkAddress("peer_listen", listen, 0); err != nil {
		return err
	}
	if len(each) != c.Dispatchers {
		return fmt.Errorf("peers: %d addresses for settings.balancers %d", len(each), c.Dispatchers)
	}
	for i, addr := range each {
		if err := checkAddress(fmt.Sprintf("peers[%d]", i), addr, 1); err != nil {
			return err
		}
	}
	if all != "" {
		if err := checkAddress("peers_all", all, 1); err != nil {
			return err
		}
	}
	s.Peers = Peers{listen, each, all}
	return nil
}

// limit applies a default and the most that a scheduler may use.
func limitOrDefault(key string, given, least, most int) (int, error) {
	if given == 0 {
		return most, nil
	}
	if given < least {
		return 0, fmt.Errorf("%s: %d is under %d", key, given, least)
	}
	return min(given, most), nil
}

// checkAdmin checks the operators' address, where there is one: calls there must not meet the
// submitters' listener.
func checkAdmin(admin, listen string) error {
	const key = "admin (LB_ADMIN)"
	if admin == "" {
		return nil
	}
	if err := checkAddress(key, admin, 0); err != nil {
		return err
	}
	if _, port, _ := net.SplitHostPort(admin); admin == listen && port != "0" {
		return fmt.Errorf("%s: %q is the address of listen too", key, admin)
	}
	return nil
}

func checkAddress(key, s string, leastPort int) error {
	if s == "" {
		return fmt.Errorf("%s: not given", key)
	}
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return fmt.Errorf("%s: %q is not address:port", key, s)
	}
	if n, err := strconv.Atoi(port); err != nil || n < leastPort || n > 65535 {
		return fmt.Errorf("%s: %q has no port from %d to 65535", key, s, leastPort)
	}
	return nil
}
