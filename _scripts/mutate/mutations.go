package main

const scenarios = "./cmd/drumpath"

var mutations = []mutation{
	{
		"identity covers the organisation", "pkg/prompt/scope.go",
		"[]string{s.Organisation, s.Model,", "[]string{s.Model,",
		"./pkg/prompt", "TestChainsShareKeysOnlyWithinScope",
	},
	{
		"identity covers the organisation, as processes", "pkg/prompt/scope.go",
		"[]string{s.Organisation, s.Model,", "[]string{s.Model,",
		scenarios, "TestScenarios/answers",
	},
	{
		"identity covers the weight version", "pkg/prompt/scope.go",
		"s.Model, s.Weights,", "s.Model,",
		scenarios, "TestScenarios/weights",
	},
	{
		"identity: the length goes before each part", "pkg/prompt/scope.go",
		"		h.Write(size[:])\n", "",
		"./pkg/prompt", "TestChainsShareKeysOnlyWithinScope",
	},
	{
		"a restarted store's old objects are dropped", "pkg/prompt/directory.go",
		"		if !keep(*d.locations[id].object) {", "		if false && !keep(*d.locations[id].object) {",
		"./pkg/prompt", "TestObjectsOfAnEarlierStoreBootAreDropped",
	},
	{
		"a free waits for pins", "internal/standin/store.go",
		"		if now.Before(until) {", "		if false && now.Before(until) {",
		"./internal/standin", "TestFreeWaitsForPins",
	},
	{
		"an object is sealed before it is visible", "internal/standin/store.go",
		"	if !o.sealed || o.freed {", "	if o.freed {",
		"./internal/standin", "TestHalfWrittenObjectCannotBePinned",
	},
	{
		"a gap in cache events is noticed", "service/node/engine_watch.go",
		"!w.contiguous(answer.Events)", "!w.contiguous(answer.Events) && false",
		"./service/node", "TestWatchResynchronisesAfterAGap",
	},
	{
		"answers carry their request's id", "pkg/upstream/stream.go",
		"ev.RequestID != s.id", "false",
		"./pkg/upstream", "TestInvalidAnswerStreamsAreErrors",
	},
	{
		"answers' tokens are counted", "pkg/upstream/stream.go",
		"ev.Index != s.nextIndex", "false",
		"./pkg/upstream", "TestInvalidAnswerStreamsAreErrors",
	},
	{
		"crossed answers are discarded, as processes", "pkg/upstream/stream.go",
		"ev.RequestID != s.id", "false",
		scenarios, "TestScenarios/answers",
	},
	{
		"a cancelled answer's connection is not used again", "pkg/upstream/stream.go",
		"	if s.complete {\n		// The end", "	if true {\n		// The end",
		"./pkg/upstream", "TestCancelledAnswerNeverReachesTheNextRequest",
	},
	{
		"a broken run is resumed", "service/entry/run.go",
		"	f.Code = CodeCutOff\n	if !retryable ||", "	f.Code = CodeCutOff\n	if true || !retryable ||",
		scenarios, "TestScenarios/answers",
	},
	{
		"not_run is said only if nothing was sent", "service/entry/run.go",
		"	case !r.reached:\n", "	case true || !r.reached:\n",
		scenarios, "TestScenarios/answers",
	},
	{
		"a dropped connection may have run", "pkg/httpjson/client.go",
		"	return errors.Is(err, fasthttp.ErrNoFreeConns)", "	return true || errors.Is(err, fasthttp.ErrNoFreeConns)",
		"./pkg/upstream", "TestDroppedConnectionIsNotReportedAsNotRun",
	},
	{
		"a claim goes before the first byte", "service/entry/service.go",
		"	if meta.Once {\n		if claim, f", "	if false && meta.Once {\n		if claim, f",
		scenarios, "TestScenarios/once_killed",
	},
	{
		"a claim is given once", "pkg/control/claims.go",
		"platform.Condition{Key: w.claim.row, Version: w.claim.version})", "platform.Condition{Key: w.claim.row + \"x\", Version: 0})",
		"./pkg/control", "TestClaimIsGrantedOnce",
	},
	{
		"a claim given up on is voided", "pkg/control/claims.go",
		"	w.noWaiter = true\n	w.value.State = ClaimVoid", "	w.noWaiter = true",
		"./pkg/control", "TestAbandonedClaimIsVoidedWhenItsWriteLands",
	},
	{
		"a lost answer of a claim is settled", "pkg/control/claims.go",
		"	ownRow := row.Version > 0 && current.Nonce == w.claim.nonce", "	ownRow := false",
		"./pkg/control", "TestClaimIsGrantedAfterLostCommitAnswer",
	},
	{
		"of two changes for one version one wins", "pkg/control/log.go",
		"		Conditions: []platform.Condition{{Key: headRowKey, Version: e.Version - 1}},\n", "",
		"./pkg/control", "TestLogHistoryIsLinearizableUnderFaults|TestProposeReturnsConflictError",
	},
	{
		"a lost answer of a change is settled by its nonce", "pkg/control/log.go",
		"	return found.Nonce == e.Nonce, nil", "	return false, nil",
		"./pkg/control", "TestProposeSucceedsAfterLostCommitAnswer",
	},
	{
		"configuration never steps back", "pkg/control/log.go",
		"d.State != nil && d.State.Version > l.state.Version", "d.State != nil",
		"./pkg/control", "TestMergeNeverLowersVersion",
	},
	{
		"configuration is pulled from peers, by those who start and those who hear of it", "service/node/config_sync.go",
		"	var d control.Delta\n	req", "	if true {\n		return nil\n	}\n	var d control.Delta\n	req",
		scenarios, "TestScenarios/configuration",
	},
	{
		"probes carry the configuration's version", "service/node/wiring.go",
		"		configSync.HandleVersion(from, p.Version)\n", "",
		scenarios, "TestScenarios/configuration",
	},
	{
		"a lease's taker waits a term", "pkg/control/leases.go",
		`return lease.row.Holder == "" || now.Sub(lease.unchangedSince) >= l.term`, "return true",
		"./pkg/control", "TestAtMostOneNodeHoldsLease",
	},
	{
		"a holder stops before its term is over", "pkg/control/leases.go",
		"	lease.validUntil = sentAt.Add(l.term - l.term/leaseMarginDivisor)", "	lease.validUntil = sentAt.Add(2 * l.term)",
		"./pkg/control", "TestLeaseIsTakenOverOnlyAfterFullTerm",
	},
	{
		"an order needs a lease that is held", "pkg/control/leases.go",
		"	if !l.now().Before(lease.validUntil) {\n		return Fence{}, false\n	}\n	lease.lastSeq++", "	lease.lastSeq++",
		"./pkg/control", "TestFenceRequiresHeldLease",
	},
	{
		"a held-for-dead node is told so", "pkg/control/members_updates.go",
		"e != nil && (e.State == MemberSuspect", "false && e != nil && (e.State == MemberSuspect",
		"./pkg/control", "TestHalvesRejoinAfterPartition",
	},
	{
		"a silent node is probed through others", "pkg/control/members.go",
		"		for _, helper := range m.pickHelpers(pending.target.Name) {", "		for _, helper := range m.pickHelpers(pending.target.Name)[:0] {",
		"./pkg/control", "TestIndirectProbesKeepMemberAliveDuringPairwisePartition",
	},
	{
		"a leaving upstream gets no new work", "pkg/route/fleet.go",
		"r.report.Leaving || f.leaving[r.Name] ||", "f.leaving[r.Name] ||",
		scenarios, "TestScenarios/leaving_upstream",
	},
	{
		"an upstream that the platform lists as leaving gets no new work", "pkg/route/fleet.go",
		"r.report.Leaving || f.leaving[r.Name] ||", "r.report.Leaving ||",
		scenarios, "TestScenarios/leaving_upstream",
	},
	{
		"a planned stop serves callers who still come", "service/node/node.go",
		"	case <-time.After(n.Settings.Entry.MaxAge.Std()):", "	case <-time.After(0):",
		scenarios, "TestScenarios/planned_stop",
	},
	{
		"fair queues", "pkg/route/admission.go",
		"		q.virtualFinish = max(q.virtualFinish, a.virtualTime) + ticket.cost/q.Share", "		q.virtualFinish = 0",
		"./pkg/route", "TestLargeOrganisationDoesNotStarveSmallOnes",
	},
	{
		"links are not booked twice", "pkg/route/links.go",
		"		s.busyUntil = s.busyUntil.Add(booking.reserved[i])\n", "",
		"./pkg/route", "TestLinksAreNotOverbooked",
	},
	{
		"no news of a replica is not no load", "pkg/route/fleet.go",
		"	if polled := f.polled[model]; len(polled) > 0 {", "	if polled := f.polled[model]; false && len(polled) > 0 {",
		"./pkg/route", "TestReplicasWithoutReportsAreNotTakenForIdle",
	},
	{
		"weights are swapped in waves", "service/node/reconcile.go",
		"		if leaseHeld && differing[group] < max(1, r.groupSizes[group]/swapDivisor) {", "		if leaseHeld {",
		"./service/node", "TestWeightSwapLimitsEnginesInTransition",
	},
	{
		"a block that comes and goes is not hot", "service/node/engine_watch.go",
		"		if last[ev.Key] == i {", "		if true || last[ev.Key] == i {",
		"./service/node", "TestBlocksAddedAndRemovedInOneBatchAreNotHot",
	},
	{
		"the first token comes within the patience", "pkg/route/estimator.go",
		"		if all[i].FirstToken() > fastest+p.weights.Patience {", "		if false && all[i].FirstToken() > fastest+p.weights.Patience {",
		"./pkg/route", "TestFirstTokenComesWithinPatience",
	},
	{
		"suspects: the fingerprint covers the organisation", "pkg/site/fingerprint.go",
		"[]string{organisation, method,", "[]string{method,",
		"./pkg/site", "TestDifferentRequestsHaveDifferentFingerprints",
	},
	{
		"suspects: the third end blocks", "pkg/suspect/case.go",
		"	blockThreshold = 3\n", "	blockThreshold = 30\n",
		"./internal/standin/onplatform", "TestRequestThatEndsReplicasIsStoppedByAllNodes",
	},
	{
		"suspects: ends of one moment are one round", "pkg/suspect/case.go",
		"		if n == 0 || e.StartedAt.After(roundEnd) {", "		if n == 0 || true || e.StartedAt.After(roundEnd) {",
		"./pkg/suspect", "TestSimultaneousEndsDoNotBlock",
	},
	{
		"suspects: a finish speaks for runs near it", "pkg/suspect/case.go",
		"	return !c.Finished.IsZero() && e.StartedAt", "	return false && e.StartedAt",
		"./pkg/suspect", "TestFinishClearsEarlierAndFollowingRuns",
	},
	{
		"suspects: a watched request runs once at a time", "pkg/suspect/register.go",
		"	case now.Before(e.runningUntil) && (node == \"\" || e.grantedTo != node):", "	case false:",
		"./pkg/suspect", "TestWatchedRequestRunsOnceAtATime",
	},
	{
		"suspects: a grant is given back to each owner", "service/suspects/grants.go",
		"	s.returnGrants(f, s.owners(f))", "	s.returnGrants(f, s.owners(f)[:1])",
		"./service/suspects", "TestLateGrantDoesNotBlockLaterRuns",
	},
	{
		"suspects: only who has a grant gives it back", "pkg/suspect/register.go",
		"e != nil && e.grantedTo == node {", "e != nil {",
		"./service/suspects", "TestLateGrantDoesNotBlockLaterRuns",
	},
	{
		"suspects: a node that starts waits for what is blocked", "service/gateway/exchange_suspects.go",
		"	x.g.suspects.WaitLearned(ctx)\n", "",
		"./internal/standin/onplatform", "TestStartingNodeWaitsForListOfBlockedRequests",
	},
	{
		"suspects: only who knows tells a node that starts", "service/suspects/notes.go",
		"	if own == received.Digest && received.Learned {", "	if own == received.Digest {",
		"./service/suspects", "TestStartingNodeLearnsBlockedRequestsFromOthers",
	},
	{
		"a call is not sent on a connection closed at rest", "pkg/httpjson/progress_conn.go",
		"closed || err != nil {", "closed && false || err != nil {",
		"./pkg/httpjson", "TestCallIsNotSentOnAConnectionClosedByTheServer",
	},
	{
		"members: known news are told less often", "pkg/control/members.go",
		"	duplicateWeight = 2\n", "	duplicateWeight = 0\n",
		"./pkg/control", "TestProbesCostFewBytesBetweenHalls",
	},
	{
		"members: other halls are probed less often", "pkg/control/members.go",
		"	localProbeBoost          = 4\n", "	localProbeBoost          = 1\n",
		"./pkg/control", "TestProbesCostFewBytesBetweenHalls",
	},
	{
		"members: probes within a hall take more news", "pkg/control/members.go",
		"	maxLocalUpdates  = 30\n", "	maxLocalUpdates  = 6\n",
		"./pkg/control", "TestProbesCostFewBytesBetweenHalls",
	},
	{
		"members: greetings tell of their sender only", "pkg/control/members.go",
		"Seq: m.nextSeq(), Bare: true}", "Seq: m.nextSeq()}",
		"./pkg/control", "TestProbesCostFewBytesBetweenHalls",
	},
	{
		"suspects: owners tell all nodes", "service/suspects/notes.go",
		"	case collect && change.New && change.After != suspect.Allowed:\n		s.broadcast(c)\n", "",
		"./service/suspects", "TestRepeatedCrashRequestIsBlockedAtAllSizes",
	},
	{
		"suspects: nodes compare what they hold", "service/suspects/notes.go",
		"	if own == received.Digest {", "	if true || own == received.Digest {",
		"./service/suspects", "TestReconnectedNodesLearnOfABlock",
	},
	{
		"suspects: a block is kept", "service/suspects/blocked_row.go",
		"	if s.store == nil || s.register.Empty()", "	if true || s.register.Empty()",
		"./internal/standin/onplatform", "TestRestartedNodesStillBlockRequestThatEndsReplicas",
	},
	{
		"suspects: engines", "service/entry/run_suspects.go",
		"	if suspects.Empty() {", "	if true || suspects.Empty() {",
		scenarios, "TestPromptsThatEndEngines",
	},
	{
		"suspended: nothing is sent on before the node has heard", "service/gateway/suspension.go",
		"	s.since.Store(&now)\n", "	_ = now\n",
		"./internal/standin/onplatform", "TestSuspendedNode",
	},
	{
		"suspended: what is over is not sent again", "service/gateway/exchange.go",
		"	x.g.checkSuspension()\n	if !x.g.synced() || boottime.Until(x.deadline) < minTimeLeft {", "	if boottime.Until(x.deadline) < minTimeLeft {",
		"./internal/standin/onplatform", "TestRequestExpiredDuringSuspensionIsNotRetried",
	},
	{
		"suspended: leases", "pkg/rollout/lease.go",
		"now: boottime.RefreshNow}\n}", "now: func() time.Time { _ = boottime.Now; return time.Now() }}\n}",
		"./pkg/rollout", "TestLeaseExpiresDuringASuspension",
	},
	{
		"limits: a grant is needed", "service/gateway/exchange_limits.go",
		"if !ok || x.g.rateLimits.MaySend(ctx, &c.Upstream) {", "if true || x.g.rateLimits.MaySend(ctx, &c.Upstream) {",
		"./internal/standin/onplatform", "TestReplicaGetsNoMoreThanItNamesFromAllNodes",
	},
	{
		"limits: one node gives a grant for all", "service/ratelimit/grants.go",
		"	if owner.Name == l.self.Name {\n		return l.issueGrant", "	if true || owner.Name == l.self.Name {\n		return l.issueGrant",
		"./service/ratelimit", "TestLimitHoldsInFleetsOfAnySize",
	},
	{
		"limits: parts that are cut apart add up to the whole", "service/ratelimit/limits.go",
		"float64(max(1, len(all)-dead)) / float64", "float64(max(1, len(all)+0*dead)) / float64",
		"./service/ratelimit", "TestLimitHoldsDuringPartition",
	},
	{
		"limits: an end is heard of", "service/ratelimit/limits.go",
		"	if l.observe(u, end, now) == quota.ChangeEnded {", "	if false && l.observe(u, end, now) == quota.ChangeEnded {",
		"./internal/standin/onplatform", "TestRateLimitFollowsLatestHeader",
	},
	{
		"limits: what was left unused is not given out later", "pkg/quota/ledger.go",
		"	b.tokens = min(b.capacity(), b.tokens+elapsed", "	b.tokens = max(b.tokens, b.tokens+elapsed",
		"./pkg/quota", "TestUnusedRateIsNotGrantedLater",
	},
	{
		"drain: an answer's word is read", "service/gateway/exchange_limits.go",
		"	if a.info.Draining {", "	if false && a.info.Draining {",
		"./internal/standin/onplatform", "TestDrainingReplicaIsSentNothingOnceItsAnswerSaysSo",
	},
	{
		"drain: the list does not undo it", "service/gateway/site_state.go",
		"	u.Draining = u.Draining || st.reportedDraining(u.StartKey())\n", "",
		"./service/gateway", "TestDrainingInResponseOverridesStoreList",
	},
	{
		"drain: nodes tell each other", "service/gateway/replica_updates.go",
		"		n.broadcast(updateFor(replica, replicaUpdate{Draining: true}))\n", "",
		"./internal/standin/onplatform", "TestNodesTellEachOtherThatAReplicaDrains",
	},
	{
		"backoff: an exclusion, not a preference", "pkg/route/exclusion.go",
		"	case now.Before(m.backoffUntil):\n		return ExcludedBackoff\n", "",
		"./pkg/route", "TestBackoffIsHonouredAndLoadReturnsGradually",
	},
	{
		"backoff: it is kept", "pkg/route/exclusion.go",
		"		m.backoffUntil = until\n", "		_ = m\n",
		"./internal/standin/onplatform", "TestNodeStopsSendingToReplicaThatAsksForBackoff",
	},
	{
		"backoff: it outlasts its row", "pkg/route/pool.go",
		"			m.backoffUntil = p.backoffs[m.startKey]\n", "",
		"./pkg/route", "TestBackoffSurvivesRelisting",
	},
	{
		"backoff: callers come back when it ends", "pkg/route/exclusion.go",
		"			recordWait(m.backoffUntil.Sub(now))\n", "",
		"./internal/standin/onplatform", "TestRequestIsRefusedAtOnceWhereAllReplicasDrainOrAskForBackoff",
	},
	{
		"backoff: orders wait", "service/gateway/rollout_fleet.go",
		"	return now.Sub(since) < s.within/2\n", "	_ = since\n	return false\n",
		"./internal/standin/onplatform", "TestWeightsOrderWaitsForBackoff",
	},
}
