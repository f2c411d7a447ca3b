package gossip

// leaveFanout is how many members this one notifies directly when it leaves.
const leaveFanout = 2 * gossipFanout

func (c *Core) handleEvent(event Event) {
	switch event := event.(type) {
	case Received:
		c.handleMessage(event)
	case Broadcast:
		c.dissemination.publish(event.Statement)
		c.nextGossip = c.now
	case Leave:
		c.leave()
	case RemoveMember:
		c.forgetMember(event.Name)
	case UpdateSeeds:
		c.antiEntropy.setSeeds(event.Seeds)
	}
}

// leave sends this member's last record to some members, which gossip it. Those it misses detect the silence.
func (c *Core) leave() {
	c.self.leave()
	c.dissemination.queueRecord(c.self.record)
	c.sendGossip(leaveFanout)
	c.stopped = true
}

// stopForNameConflict stops this member for a later one of its name.
func (c *Core) stopForNameConflict(epoch int64) {
	c.stopped = true
	c.outbox.emit(NameConflict{epoch})
}

// handleMessage applies what a message carries, and then handles it by its kind.
func (c *Core) handleMessage(received Received) {
	message := received.Message
	if received.From == c.config.Name {
		if received.Epoch > c.self.record.Epoch {
			c.stopForNameConflict(received.Epoch)
		}
		return
	}
	for _, record := range message.Records {
		c.mergeRecord(record)
	}
	from := c.table.get(received.From)
	if from != nil {
		c.table.markContacted(c.now, from)
	}
	if c.stopped {
		return
	}
	if received.Trusted {
		for _, claim := range message.Claims {
			c.handleClaim(from, claim)
		}
	}
	for _, statement := range message.Statements {
		if c.dissemination.forward(statement) {
			c.outbox.emit(StatementReceived{statement})
		}
	}
	c.handleKind(received, from)
}

// handleKind handles a message by its kind. The sender is nil if it is not a member.
func (c *Core) handleKind(received Received, from *member) {
	message := received.Message
	switch message.Kind {
	case Ping:
		if c.limits.allowAnswer(c.now, from) {
			c.outbox.reply(received, newAck(c.rng, &c.self.record, c.table, received, from))
		}
	case Ack:
		c.handleAck(received)
	case Nack:
		c.detector.countNack(message.Nonce)
	case IndirectPing:
		if from != nil && c.limits.allowAnswer(c.now, from) {
			c.handleIndirectPing(received)
		}
	case Gossip:
		if len(message.Want) > 0 && received.Trusted && c.limits.allowAnswer(c.now, from) {
			c.outbox.reply(received, newRequestedRecords(&c.self.record, c.table, message.Want))
		}
	}
}

// handleAck ends the probe that an Ack answers.
func (c *Core) handleAck(received Received) {
	message := received.Message
	p := c.detector.acknowledge(received.From, message.Nonce)
	switch {
	case p == nil:
	case p.requester != "":
		p.answerRequester(c.outbox, c.table, Ack)
	case len(message.Want) > 0:
		c.outbox.reply(received, newRequestedRecords(&c.self.record, c.table, message.Want))
	}
}

// handleIndirectPing pings a member on behalf of another that had no answer from it.
func (c *Core) handleIndirectPing(received Received) {
	target := c.table.get(received.Message.Target)
	if target == nil || !c.detector.canRelay() {
		c.outbox.reply(received, &Message{Kind: Nack, Nonce: received.Message.Nonce})
		return
	}
	c.sendPing(&probe{target: target.Name, requester: received.From, requesterNonce: received.Message.Nonce},
		target.Addr.AddrPort, nil)
}

// mergeRecord applies the record of a member. Where records are signed, one without a signature only makes its member
// a candidate.
func (c *Core) mergeRecord(record Record) {
	if record.Name == c.config.Name {
		if record.Epoch > c.self.record.Epoch && record.Sig != nil {
			c.stopForNameConflict(record.Epoch)
		}
		return
	}
	if c.config.Sign != nil && record.Sig == nil {
		c.table.addCandidate(record)
		return
	}
	known := c.table.get(record.Name)
	if known == nil {
		if record.Gone || !c.ensureCapacity() {
			return
		}
		known = c.table.insert(c.rng, record)
	} else if !record.supersedes(known.Epoch, known.Incarnation, known.State == Left) {
		return
	}
	c.table.setRecord(known, record)
	if record.Gone {
		c.setState(known, Left)
	} else {
		c.setState(known, Alive)
	}
	c.dissemination.queueRecord(record)
}

// ensureCapacity makes sure that one more member can be held. If need be it forgets the one that has been dead or
// departed longest; it reports false if there is none.
func (c *Core) ensureCapacity() bool {
	if !c.table.full() {
		return true
	}
	oldest := c.table.longestGone()
	if oldest == nil {
		return false
	}
	c.forgetMember(oldest.Name)
	return true
}

// forgetMember drops all knowledge of a member.
func (c *Core) forgetMember(name string) {
	if m := c.table.get(name); m != nil {
		c.setState(m, Left)
		c.table.remove(name)
	}
	c.outbox.emit(MemberForgotten{name})
	c.dissemination.forget(name)
	c.table.dropCandidate(name)
}

// setState changes the state of a member, and reports it if it is another.
func (c *Core) setState(m *member, state State) {
	if c.table.setState(c.now, m, state) {
		c.outbox.emit(MemberChanged{m.Member})
	}
}

// handleClaim applies what one member claims about another. A claim makes a member suspect at most: a member that is
// there refutes it, and one that does not is declared dead after the suspicion timeout.
func (c *Core) handleClaim(from *member, claim Claim) {
	if claim.State != Suspect && claim.State != Dead {
		return
	}
	if from == nil || !from.budgets.allowClaim(c.now) {
		return
	}
	if claim.Name == c.config.Name {
		c.refute(from, claim)
		return
	}
	subject := c.table.get(claim.Name)
	if subject == nil || subject.State != Alive {
		return
	}
	if subject.Epoch == claim.Epoch && subject.Incarnation == claim.Incarnation {
		c.declare(subject, Suspect)
	}
}

// refute contradicts a claim about this member with a new incarnation.
func (c *Core) refute(from *member, claim Claim) {
	if claim.Epoch != c.self.record.Epoch {
		return
	}
	if claim.Incarnation == c.self.record.Incarnation {
		c.self.refute()
		c.detector.noteRefutation()
		c.dissemination.queueRecord(c.self.record)
		c.nextGossip = c.now
	}
	// Gossip may miss a member. One that still holds this member suspect is answered directly.
	if c.limits.allowAnswer(c.now, from) {
		c.outbox.transmitTo(from, &Message{Kind: Gossip, Records: []Record{c.self.record}})
	}
}

// declare changes the state of a member to suspect or dead, and tells the others so.
func (c *Core) declare(m *member, state State) {
	c.setState(m, state)
	c.dissemination.queueClaim(m.currentClaim())
}
