package kqnode

import (
	"encoding/json"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqstream"
)

// acceptor accepts streams of agents and entries.
type acceptor struct{ node *Node }

func (a *acceptor) loop() error {
	for {
		conn, err := a.node.listener.Accept()
		if err != nil {
			select {
			case <-a.node.tomb.Dying():
				return nil
			default:
				a.node.sleep(pollInterval)
				continue
			}
		}
		a.node.accept(conn)
	}
}

// peer is an agent or entry that has connected to this process. Its session is set once this
// process has accepted it as the owner.
type peer struct {
	node       *Node
	controller *kqcontrol.Controller
	session    *kqcontrol.Session
}

// receive passes a message to the session. The first message must be a Hello; it starts the
// session if this process owns the cell, with an epoch not below the one that the peer
// expects. A process that is still loading the cell keeps the peer waiting. Entries are also
// turned away if the store has not confirmed the ownership recently.
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
	c, isLatest := p.node.awaitController(p, m.Hello.Name)
	if !isLatest {
		s.Close()
		return
	}
	stale := c != nil && m.Hello.Role == kqmessage.RoleEntry && c.Stale(p.node.config.Control.Now())
	if c == nil || stale || c.Epoch() < m.Hello.Epoch {
		s.Send(kqmessage.FromOwner{NotOwner: true})
		return
	}
	p.controller = c
	p.session = c.Attach(s, *m.Hello)
}

// closed ends the session, and logs it if the stream has ended over the size of a message.
func (p *peer) closed(_ *kqstream.Stream, err error) {
	if kqstream.IsSizeError(err) {
		c := p.node.config.Control
		name := "peer"
		if p.session != nil {
			name = p.session.Host()
		}
		c.Events.Emit(c.Now(), kqevent.MessageTooLarge, kqevent.Process(name), "its connection has ended: %v", err)
	}
	if p.session != nil {
		p.controller.Detach(p.session)
	}
}
