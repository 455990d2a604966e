package kqnode

import (
	"encoding/json"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
)

// acceptor takes streams of agents and entries.
type acceptor struct{ node *Node }

func (a *acceptor) loop() error {
	for {
		conn, err := a.node.listener.Accept()
		if err != nil {
			select {
			case <-a.node.tomb.Dying():
				return nil
			default:
				a.node.pause(lookInterval)
				continue
			}
		}
		p := &peer{node: a.node}
		kqstream.New(conn, kqstream.Config{Receive: p.receive, Closed: p.closed})
	}
}

// peer is a process that has connected to this one.
type peer struct {
	node       *Node
	controller *kqcontrol.Controller
	session    *kqcontrol.Session
}

func (p *peer) receive(s *kqstream.Stream, body []byte) {
	if p.session != nil {
		p.session.Receive(body)
		return
	}
	var m kqmessage.ToOwner
	if err := json.Unmarshal(body, &m); err != nil || m.Hello == nil {
		s.Close()
		return
	}
	c := p.node.owned()
	stale := c != nil && m.Hello.Role == kqmessage.RoleEntry && c.Stale(p.node.config.Control.Now())
	if c == nil || stale || c.Epoch() < m.Hello.Epoch {
		s.Send(kqmessage.FromOwner{NotOwner: true})
		return
	}
	p.controller = c
	p.session = c.Attach(s, *m.Hello)
}

func (p *peer) closed(*kqstream.Stream, error) {
	if p.session != nil {
		p.controller.Detach(p.session)
	}
}
