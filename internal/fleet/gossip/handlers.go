package gossip

// leaveFanout is the number of members that are notified directly when this member leaves.
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

// leave sends this member's final record to some members, which gossip it further. Members that the record does not
// reach detect the departure by failed probes.
func (c *Core) leave() {
	c.self.leave()
	c.dissemination.queueRecord(c.self.record)
	c.sendGossip(leaveFanout)
	c.stopped = true
}

// stopForNameConflict stops this member because another one with the same name started later.
func (c *Core) stopForNameConflict(epoch int64) {
	c.stopped = true
	c.outbox.emit(NameConflict{epoch})
}

// handleMessage applies the content of a message and then dispatches on its kind.
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

// handleKind dispatches on the kind of a message. from is nil if the sender is not a member.
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

// handleAck ends the probe that an Ack answers, and relays the Ack or sends requested records.
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

// handleIndirectPing pings the target on behalf of the sender. It answers with a Nack at once if the target is unknown
// or too many probes are in flight.
func (c *Core) handleIndirectPing(received Received) {
	target := c.table.get(received.Message.Target)
	if target == nil || !c.detector.canRelay() {
		c.outbox.reply(received, &Message{Kind: Nack, Nonce: received.Message.Nonce})
		return
	}
	c.sendPing(&probe{target: target.Name, requester: received.From, requesterNonce: received.Message.Nonce},
		target.Addr.AddrPort, nil)
}

// mergeRecord applies the record of a member. In a fleet with signed records, an unsigned one only adds a candidate.
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

// ensureCapacity ensures that the table has space for one more member. If the table is full, it evicts the member that
// has been dead or departed longest. It returns false if there is no such member.
func (c *Core) ensureCapacity() bool {
	if !c.table.full() {
		return true
	}
	oldest := c.table.longestOutOfFleet()
	if oldest == nil {
		return false
	}
	c.forgetMember(oldest.Name)
	return true
}

// forgetMember drops all state about a member.
func (c *Core) forgetMember(name string) {
	if m := c.table.get(name); m != nil {
		c.setState(m, Left)
		c.table.remove(name)
	}
	c.outbox.emit(MemberForgotten{name})
	c.dissemination.forget(name)
	c.table.dropCandidate(name)
}

// setState changes the state of a member and emits MemberChanged if the state differs from the previous one.
func (c *Core) setState(m *member, state State) {
	if c.table.setState(c.now, m, state) {
		c.outbox.emit(MemberChanged{m.Member})
	}
}

// handleClaim applies a claim of one member about another. A claim of Suspect or Dead only makes its subject suspect:
// the subject is declared dead after the suspicion timeout unless it refutes the claim.
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

// refute answers a claim about this member with a new incarnation.
func (c *Core) refute(from *member, claim Claim) {
	if claim.Epoch != c.self.record.Epoch {
		return
	}
	if claim.Incarnation == c.self.record.Incarnation {
		c.self.refute()
		c.detector.recordRefutation()
		c.dissemination.queueRecord(c.self.record)
		c.nextGossip = c.now
	}
	// Gossip does not reach every member. A member that still suspects this one is answered directly.
	if c.limits.allowAnswer(c.now, from) {
		c.outbox.transmitTo(from, &Message{Kind: Gossip, Records: []Record{c.self.record}})
	}
}

// declare changes the state of a member to suspect or dead and broadcasts the claim.
func (c *Core) declare(m *member, state State) {
	c.setState(m, state)
	c.dissemination.queueClaim(m.currentClaim())
}
