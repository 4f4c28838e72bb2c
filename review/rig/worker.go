package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// A Request is a job that has reached a worker whole.
type Request struct {
	ID, Class, Remaining string
	Body                 []byte
}

// A Server is the socket side of a worker: it reads requests one by one on each connection and calls Handle.
type Server struct {
	Addr   string
	Handle func(c net.Conn, r *Request) (keep bool)

	mu    sync.Mutex
	l     net.Listener
	conns map[net.Conn]struct{}
}

// StartServer starts the socket side of a worker on a loopback address.
func StartServer(addr string, handle func(c net.Conn, r *Request) bool) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: l.Addr().String(), Handle: handle, l: l, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// Close ends it and all its connections.
func (s *Server) Close() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Txn")
		if id == "" { // a probe or a call of something that is not a job
			status := "404 Not Found"
			if req.URL.Path == "/ping" {
				status = "200 OK"
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status); err != nil {
				return
			}
			continue
		}
		class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
		r := &Request{ID: id, Class: class, Remaining: req.Header.Get("X-Remaining"), Body: body}
		if !s.Handle(c, r) {
			return
		}
	}
}

// TurnedAway is the answer of a worker that does not take a job.
const TurnedAway = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"

// WriteHead writes the head of the answer to a job that was taken.
func WriteHead(c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	return err == nil
}

// WriteState writes a state line; with last it ends the answer.
func WriteState(c net.Conn, last bool, id, from, state, result string) bool {
	line := map[string]any{"id": id, "from": from, "state": state}
	if state == "done" {
		line["result"] = result
	}
	text, _ := json.Marshal(line)
	out := fmt.Sprintf("%x\r\n%s\n\r\n", len(text)+1, text)
	if last {
		out += "0\r\n\r\n"
	}
	_, err := io.WriteString(c, out)
	return err == nil
}
