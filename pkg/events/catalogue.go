package events

// Keys that several lines have.
var (
	keyRequest       = Key{"request", "the ID that the client gave its attempt"}
	keyReplica       = Key{"replica", "the replica's ID"}
	keyPeer          = Key{"peer", "the other node's address"}
	keyRoute         = Key{"route", "the route's name"}
	keyErr           = Key{"err", "the error"}
	keyLimit         = Key{"limit", "requests per second that the replica's answer says it accepts from all nodes together; empty if it names no limit, ? if the limit can't be parsed"}
	keyDraining      = Key{"draining", "whether the replica's answer says that it is draining"}
	keyBackoff       = Key{"backoff", "nanoseconds for which the replica's refusal asks this node to send it nothing; 0 if it does not ask"}
	keyEnds          = Key{"ends", "how many replicas are known to have ended while running a request with this content, or with this part"}
	keyPart          = Key{"part", "ID of the part of the prompt, as its callers name it; empty if the cause is the content"}
	keyPartContent   = Key{"content", "fingerprint of the part and its service"}
	keyFinishes      = Key{"finishes", "how many finishes of prompts with this part are known, 16 at most"}
	keyEndedReplicas = Key{"replicas", "these replicas, each with its start"}
	keyVerdict       = Key{"verdict", "free, watched (such requests run one at a time) or blocked (they are not sent)"}
	keyContent       = Key{"content", "fingerprint of the request's content and organisation, the same for every attempt of its client"}
	keyAttempts      = Key{"attempts", "attempts that may have run"}
	keyNotRun        = Key{"not_run", "attempts that were refused or could not be sent"}
	keyAfter         = Key{"after", "nanoseconds since the request's head was received"}
	keySinceStop     = Key{"after", "nanoseconds since the stop signal"}
	keyModel         = Key{"model", "the model"}
	keyVersion       = Key{"version", "the version of the weights, of the configuration, or of the store's row"}
	keyPosition      = Key{"position", "position in the platform's store, as era/version"}
	keyLearned       = Key{"learned", "how the node learned of it: change (of the operator's table), listing (of the whole table), node (another node told it) or record (in the platform's store)"}
	keyWeightsAge    = Key{"age", "nanoseconds since the version was named, as far as the node knows"}
	keyPeriod        = Key{"period", "the period, as the store's era and the configuration with which it began"}
	keyEstimated     = Key{"estimated", "whether the age is an estimate, as nobody who knows it could be asked"}
	keyNode          = Key{"node", "the node's name"}
	keyInFlight      = Key{"in_flight", "requests being served"}
	keyStore         = Key{"store", "the KV cache store; in \"node started\" the platform's store"}
	keyTable         = Key{"table", "the table of the platform's store"}
	keyRow           = Key{"row", "the row's key"}
	keyUpstream      = Key{"upstream", "the replica's ID"}
	keyService       = Key{"service", "the service"}
	keySoftware      = Key{"software", "the version that is to take over"}
	keyWriter        = Key{"software", "the version of the software of the replica that writes the events"}
	keyFile          = Key{"file", "the settings file"}
	keyBoot          = Key{"boot", "ID of the start of the store or engine; another after each restart"}
	keyLease         = Key{"lease", "the lease's name"}
	keyFence         = Key{"fence", "the fencing number, which rises with each holder"}
	keyHall          = Key{"hall", "the data hall"}
	keyParts         = Key{"parts", "how many parts of prompts"}
	keyAway          = Key{"away", "duration of the outage in nanoseconds"}
)

// Catalogue declares every line that a gateway logs, except those of level debug.
var Catalogue = []Event{
	{"answered", Routine, "A request got a replica's answer.", []Key{
		keyRequest, keyRoute, keyReplica,
		{"hall", "the replica's data hall"},
		{"left_hall", "why the replica is not in the node's data hall: no_replica, busy, better or unrestricted; empty if it is"},
		{"follows", "whether the replica was prefilling the shared tokens for another prompt of this node"},
		{"software", "the version of the replica's software"},
		{"via", "the node that forwarded the request, as this one had no path to the replica; empty if it was sent directly"},
		{"weights", "the version of the weights that the replica has, as far as known; 0 for a service without weights"},
		{"framing", "what ended the answer's body: none, length, chunked, or close if it had neither a length nor chunks and ended with its connection"},
		{"newest", "the newest version of the weights that was named"},
		{"replaced_ms", "for how long a newer version than that of the replica had been named when the request was sent, as far as the node knew; 0 for the newest"},
		{"body_bytes", "size of the request's body"},
		{"tokens", "tokens of the prompt"},
		{"shared", "of those, the tokens that other requests may share"},
		{"kept", "of those, the tokens that the replica holds or can fetch"},
		{"held", "of those, the tokens that the replica itself holds"},
		{"read", "tokens that the replica was expected to compute"},
		{"fetched", "tokens that were to be fetched from a KV cache"},
		{"saved", "tokens that were to be saved to a KV cache store"},
		{"sources", "where each part was to come from"},
		{"fetch_ms", "expected duration of the fetch"},
		{"expected_ms", "expected time to the first byte"},
		{"first_ms", "measured time to the first byte"},
		{"gap_ms", "the longest pause between bytes of a stream"},
		{"before_ms", "time between the arrival of the request and its sending"},
		{"all_ms", "total duration"},
		{"unread_ms", "time for which the response was left at the replica, as the node had no memory for it"},
		{"resumed_at", "the replica that went on with the run from a copy of its memory, empty if none did; the prompt was computed at the replica above"},
		keyLimit, keyDraining,
		keyAttempts, keyNotRun,
	}},
	{"refused", Failure, "The node itself answered a request with an error.", []Key{
		keyRequest,
		{"status", "the status"},
		{"reason", "the cause: see the reasons below"},
		keyRoute, keyService,
		{"retry_after", "nanoseconds after which the client may retry; only where the request did not run"},
		keyAfter, keyAttempts, keyNotRun,
		{"unreached", "of the attempts in not_run, those for which no connection to the replica could be made"},
		{"connecting", "nanoseconds that the request spent on connections that could not be made"},
		{"config", "the version of the configuration in force"},
		{"list_age", "nanoseconds since the list of upstreams was last confirmed"},
		{"store_away", "nanoseconds since the list was last unavailable; 0 for never"},
		{"replicas", "replicas of the service"},
		{"usable", "of those, the ones that may be used now"},
		{"median_wait", "expected wait of a prompt at the median replica, in nanoseconds"},
		{"expected_wait", "expected wait for which the queue refused the prompt, in nanoseconds; 0 for other reasons"},
		{"slots", "slots of the replicas that may be used now"},
		{"free_slots", "of those, the ones that no known request holds"},
		{"retried", "whether the client has probably sent the request before, as its time is well below the usual one of the route"},
		keyInFlight,
	}},
	{"refusal would have guaranteed that a request had not run", Failure, "The node was about to answer a request that may have run with a status that guarantees that it has not; it answered 502 instead. This is a fault of the node.", []Key{
		keyRequest,
		{"status", "the status that was not sent"},
		{"reason", "the cause: see the reasons below"},
		keyAttempts,
	}},
	{"client left", Failure, "A client closed its connection before its answer was complete.", []Key{keyRequest, keyRoute, keyAfter, keyAttempts}},
	{"cut by a stop", Failure, "The node stopped before a request was answered; it may have run.", []Key{keyRequest, keyRoute, keyAfter, keyAttempts}},
	{"replica refused", Failure, "A replica answered that it did not run a request.", []Key{
		keyRequest, keyReplica,
		{"status", "the replica's status"},
		{"weights", "the version of the weights that the replica was assumed to have"},
		{"newest", "the newest version of the weights that was named"},
		keyLimit, keyDraining, keyBackoff,
		keyNotRun,
	}},
	{"retry budget used up", Failure, "A request was not sent again, as the retry budget of its service allows no more; further ones within 2 s are not logged.", []Key{
		keyService,
		{"requests", "requests for the service within the window of the budget"},
		{"retries", "retries within the window"},
		{"allowed", "retries that the window may contain now"},
		{"granted", "retries since the node started"},
		{"denied", "retries that were denied since the node started"},
	}},
	{"replica failed", Failure, "A replica ran a request and answered with an error; that answer is delivered if no other attempt does better.", []Key{
		keyRequest, keyRoute, keyReplica, {"status", "the replica's status"}, keyDraining, keyBackoff, keyAttempts, keyAfter,
	}},
	{"replica not reached", Failure, "No connection to a replica could be made; nothing was sent.", []Key{
		keyRequest, keyReplica,
		{"addr", "the replica's address"},
		{"after", "nanoseconds until the connection was given up"},
		keyErr,
	}},
	{"replicas are brittle", Failure, "An answer says that the replicas of a service fall over if they turn many requests away. The node keeps to its share of their slots from now on.", []Key{keyService, keyReplica}},
	{"replicas are no longer brittle", Failure, "An answer no longer says so.", []Key{keyService, keyReplica}},
	{"path to replica lost", Failure, "The node could not connect to a replica and has asked other nodes whether they reach it. While the path is lost, requests for the replica that need a new connection go through other nodes.", []Key{
		keyReplica,
		{"addr", "the replica's address"},
		{"fault", "path (another node reaches the replica), replica (those that reach others do not reach it) or unknown (no node could tell)"},
		keyErr,
	}},
	{"path to replica back", Failure, "The node has connected to a replica whose path was lost.", []Key{
		keyReplica, {"addr", "the replica's address"}, {"after", "nanoseconds for which it was lost"},
	}},
	{"request forwarded", Routine, "The node sent a request of another node to a replica that the other one could not connect to.", []Key{
		keyRequest,
		{"node", "the node that received the request and decides about it"},
		keyReplica,
		{"status", "the replica's status; 0 if its answer was lost"},
		{"after", "nanoseconds since the request came from the other node"},
		keyErr,
	}},
	{"request not forwarded", Failure, "Another node did not send on a request whose replica this node has no path to; nothing was sent.", []Key{
		keyRequest,
		{"node", "the other node"},
		keyReplica,
		{"reason", "unreachable (the other node reaches other replicas only), cut_off (its own paths are lost), busy, stopping, or excluded (the replica is unknown to it or accepts no requests)"},
	}},
	{"prompt withdrawn", Failure, "A prompt still waited at an engine when the engine's weights were about to be too old to begin it; the node ended the attempt, and sends the prompt to another engine if it may be repeated.", []Key{
		keyRequest, keyRoute, keyReplica,
		{"weights", "the version of the weights that the engine was assumed to have"},
		{"newest", "the newest version of the weights that was named"},
		{"expected", "nanoseconds after which the first event was expected when the engine was chosen"},
		{"waited", "nanoseconds since the prompt was sent"},
		keyAttempts,
	}},
	{"idle connections closed", Failure, "An attempt ended after its replica had been silent; the idle connections to that replica were closed, as they may be dead too.", []Key{
		keyRequest, keyReplica,
		{"quiet", "nanoseconds for which nothing was received"},
		{"closed", "how many connections"},
	}},
	{"replica checked", Failure, "A replica that seemed to have gone silent was checked: once nothing had come from it for 0.4 s, the node tried to connect to it.", []Key{
		keyReplica,
		{"addr", "the replica's address"},
		{"cause", "why: error (this node failed to reach it), report (another node did), pause (a stream from it paused), return (its ejection is over)"},
		{"result", "alive (it was heard or accepted the connection), gone (it can't be reached), partitioned (this node's own network is presumed to be at fault), inconclusive (the node was suspended or short of processor time), unneeded (the requests there had ended)"},
		{"quiet", "nanoseconds for which nothing had been received from it"},
		{"after", "nanoseconds that the check took"},
		{"ended", "requests in flight there that were ended as lost"},
	}},
	{"network presumed to be at fault", Failure, "A replica could not be reached, but most others can't either: the node ends no requests for that.", []Key{
		keyReplica,
		{"replicas", "how many replicas there are"},
		{"unreachable", "how many seem unreachable"},
		{"failed", "how many of them were found so during the check"},
		{"heard", "how many were heard during the check"},
		{"sample_reached", "how many of those that the node connected to for this decision it reached"},
		{"sample_failed", "how many of them it did not reach"},
	}},
	{"answer lost", Failure, "A connection broke before the head of the answer was received; the request may have run. If the request was forwarded, both nodes log it.", []Key{
		keyRequest, keyContent, keyReplica, {"via", "the node that forwarded the request, empty if this one sent it itself"}, keyAttempts, keyErr,
	}},
	{"answer cut short", Failure, "A connection broke within the answer's body; the request has run.", []Key{keyRequest, keyContent, keyReplica, keyErr}},
	{"response cut off unread", Failure, "The connection ended after the node had left the response unread for want of memory; the request has run. It does not count as a failure of the replica.", []Key{
		keyRequest, keyRoute, keyReplica,
		{"waited", "nanoseconds for which the response waited for memory"},
		keyAttempts, keyErr,
	}},
	{"stream broke off", Failure, "A replica's stream of events ended early.", []Key{
		keyRequest, keyContent, keyReplica, keyWriter, {"last_event", "the last event that was passed on"}, keyErr,
	}},
	{"stream begun", Routine, "The first event of a stream that clients may take up again is passed on. Logged only while the replicas of the service have several versions of their software.", []Key{
		keyRequest, keyRoute, keyReplica, keyService, keyWriter,
	}},
	{"stream taken up", Routine, "A client takes up a stream that broke off, and its origin was looked for. If the verdict is goes_on, the stream goes on at that version of that service, or is refused; otherwise it is refused.", []Key{
		keyRequest, keyRoute,
		{"begun_by", "the attempt that brought the stream's first event, as the client names it; empty if it does not"},
		{"last_event", "the last event that the client has"},
		{"verdict", "goes_on; unknown: no node that answered has a record, and the service is not known to have one version only; unreachable: the same, but this node does not reach others that may know more"},
		{"service", "the service that began the stream, empty if it is not known"},
		{"begun_at", "the version of the software that began the stream"},
		{"known_by", "the node whose record tells the origin, or \"only version\" if the service has no other"},
		{"age_ms", "time since the stream began, 0 if it is not known"},
		{"found_after", "nanoseconds that the search took"},
	}},
	{"versions of service listed", Change, "This node has written the versions of a service's software at which streams may begin.", []Key{
		keyService,
		{"versions", "the versions, each with when it was retired in milliseconds of the store's clock"},
		keyPosition,
	}},
	{"versions of service not written", Failure, "The versions of a service's software at which streams may begin could not be written; streams begin at new versions only once some node has written them.", []Key{keyService, keyErr}},
	{"versions of service not read", Failure, "The versions of a service's software could not be read, neither from the store nor through another node.", []Key{keyService, keyErr, {"peer_err", "the error of the other node"}}},
	{"stream goes on", Routine, "A stream goes on at another replica after some of its events were passed on.", []Key{
		keyRequest, keyRoute, keyReplica, keyService, keyWriter,
		{"begun_by", "the attempt that brought the stream's first event, as the client names it; empty if it does not, or if the stream goes on within one answer"},
		{"begun_at", "the version of the software that began the stream, empty if it is not known"},
		{"last_event", "the last event before"},
	}},
	{"run not moved", Failure, "An engine did not copy a run's memory to another engine.", []Key{
		keyRequest, keyReplica,
		{"target", "the other engine's ID"},
		{"stopped", "whether the engine had stopped the run, which then goes on there from its copy"},
		{"after", "nanoseconds since the call began"},
		keyErr,
	}},
	{"run resumed", Routine, "A run goes on from a copy of its memory.", []Key{
		keyRequest, keyRoute,
		{"from", "the ID of the replica where the run was"},
		keyReplica,
		{"backup", "whether the copy is a backup, which is used when the replica is lost, or was made to hand the run over"},
		{"last_event", "the last event that was passed on"},
		{"after_ms", "time from the decision to hand the run over, or from the loss of its replica, to the head of the answer"},
	}},
	{"run not resumed", Failure, "A replica did not go on with a run from a copy of its memory.", []Key{
		keyRequest, keyReplica,
		{"status", "the replica's status, 0 for none"},
		{"left", "how many other replicas may be tried with the same copy"},
		keyErr,
	}},
	{"copy not dropped", Failure, "An unused copy of a run's memory was not freed; the engine frees it when its time is over.", []Key{keyRequest, keyReplica, keyErr}},
	{"stream not resumed", Failure, "A replica answered the resumption of a stream with something else than its rest. Another one is tried, or the stream is cut.", []Key{
		keyRequest, keyRoute, keyReplica,
		{"via", "the node that forwarded the request, empty if it was sent directly"},
		{"status", "the status"},
		{"content_type", "the Content-Type"},
		{"verdict", "declined: the replica can't take up this stream, which does not count against it; failed: it counts as a failure of the replica"},
		{"last_event", "ID of the last event that was passed on"},
		keyAttempts,
	}},
	{"second answer not written", Failure, "The client had the head of an answer already; its connection was closed instead. This is a fault of the node.", []Key{keyRequest}},
	{"stalled", Failure, "A lock can't be taken, or a step of the timers does not end. Requests may hang; the node goes on trying.", []Key{
		{"at", "which lock, or \"timer step\""},
		{"waited", "nanoseconds"},
		{"stacks", "what the goroutines do, equal stacks once with their number"},
	}},
	{"stall ended", Change, "A lock could be taken again, or the step has ended.", []Key{{"at", "which lock, or \"timer step\""}}},
	{"machine was suspended", Change, "The node's machine was suspended; the node refreshes its state from the store and from other nodes.", []Key{
		keyNode,
		{"for", "nanoseconds"},
		keyInFlight,
		{"resting", "idle connections to replicas that were closed"},
		{"stores", "KV cache stores whose state is unknown until they answer again"},
	}},
	{"serving resumed after suspension", Change, "The node has refreshed its state, or has waited for that as long as it may.", []Key{keyNode, {"after", "nanoseconds since the suspension was detected"}}},
	{"machine suspension can't be detected", Failure, "The operating system has no clock that counts suspended time.", []Key{keyNode, keyErr}},
	{"replica ended under a request", Failure, "A replica stopped accepting connections or restarted after the answer to a request in flight there was lost.", []Key{
		keyRequest, keyContent, keyService,
		{"parts", "IDs of the parts of its prompt that other requests may share, the first twelve"},
		keyReplica, keyEnds, keyVerdict,
		{"finished_before", "whether a replica is known to have finished a request with the same content; ends close to that time don't count"},
	}},
	{"replica reports draining", Change, "A replica's answer, at this node or another, says that it is about to end; its row does not say so yet.", []Key{
		keyUpstream, keyService,
		{"list_age", "nanoseconds since the list of upstreams was last confirmed"},
	}},
	{"replica rate limit set", Change, "A replica has named a limit of requests per second from all nodes together, or has changed it.", []Key{
		keyReplica,
		{"per_second", "the limit"},
		{"age", "nanoseconds since a replica's answer named it"},
		{"owner", "the node that grants requests to this replica, as this node sees it"},
	}},
	{"replica rate limit removed", Change, "A replica's answer named no limit any more.", []Key{
		keyReplica, {"age", "nanoseconds since the request of that answer was sent"},
	}},
	{"request suspected", Failure, "Replicas ended under requests with the same content: from now on such requests run one at a time among all nodes, or not at all.", []Key{keyContent, keyVerdict, keyEnds, keyEndedReplicas}},
	{"request no longer suspected", Change, "A replica has finished a request with a content under which replicas had ended.", []Key{keyContent}},
	{"request blocked", Failure, "A request was not sent on because replicas had ended under its content, or under a part of its prompt.", []Key{
		keyRequest, keyContent,
		{"cause", "request for its content, part for a part of its prompt"},
		keyService,
		keyPart, keyEnds, keyEndedReplicas, keyAttempts,
	}},
	{"prompt part blocked", Failure, "Replicas ended under prompts that share a part: prompts with it are no longer sent.", []Key{
		keyService, keyPart, keyPartContent, keyEnds, keyFinishes, keyEndedReplicas,
	}},
	{"prompt part released", Change, "Finishes of prompts with a blocked part, or another part that explains the ends, speak for it: it is no longer blocked.", []Key{
		keyService, keyPart, keyPartContent, keyEnds, keyFinishes,
	}},
	{"blocked requests stored", Change, "This node has written the row of blocked requests.", []Key{{"cases", "how many"}, keyPosition}},
	{"list of blocked requests not written", Failure, "The row from which nodes that start later learn what is blocked was not written; the write is retried.", []Key{keyErr}},
	{"serving without the list of blocked requests", Failure, "A node that has started got the list neither from the store nor from another node in time; its first requests wait no longer.", []Key{keyNode, {"after", "nanoseconds that they have waited at most"}}},
	{"row of blocked requests can't be decoded", Failure, "The row from which a starting node learns what is blocked is invalid.", []Key{keyRow, keyErr}},
	{"stream cut", Failure, "A stream that had begun was aborted towards the client.", []Key{keyRequest, keyRoute, {"reason", "why"}}},

	{"configuration in force", Change, "A configuration was put in force.", []Key{keyVersion, {"routes", "how many routes"}}},
	{"configuration not usable, the last one stays", Failure, "A row of the operator's table is invalid; the previous configuration stays in force.", []Key{keyRow, keyPosition, keyErr}},
	{"weights named", Change, "New weights of a model were named.", []Key{
		keyModel, keyVersion, keyLearned, keyWeightsAge, keyEstimated,
		{"unheard", "nanoseconds since the operator's table had last been known before; 0 if it never had"},
	}},
	{"age of weights learned", Change, "The node has learned that weights were named earlier than it had assumed, or what it had estimated. The time for which older weights may be used counts from then.", []Key{
		keyModel, keyVersion, keyLearned, keyWeightsAge, keyEstimated,
		{"assumed", "the age that was assumed, in nanoseconds"},
	}},
	{"weights recorded", Change, "This node has written to the platform's store when weights were named, for nodes that start later.", []Key{{"models", "how many models"}, keyPosition}},
	{"record of weights not synced", Failure, "The record of when weights were named was not read or not written; it is tried again.", []Key{{"write", "whether this node was to write it"}, keyErr}},
	{"record of weights can't be decoded, replaced by the next one", Failure, "The row with the record of when weights were named is invalid. It tells nothing, and is written anew by the node that writes it next.", []Key{keyPosition, keyErr}},
	{"period of shared cache known", Change, "The node knows in which period the organisations share KV cache that are not isolated in a configuration; it is another one than before.", []Key{keyVersion, keyPeriod, keyLearned}},
	{"shared cache recorded", Change, "This node has written to the platform's store in which period organisations share KV cache under a new configuration. A period other than before means that what they kept is not used any more, as an organisation has become isolated or no longer is, or the store came back from a copy.", []Key{
		keyVersion, keyPeriod, {"before", "the period that was recorded before, 0.0 for none"}, keyPosition,
	}},
	{"record of shared cache not synced", Failure, "The record of the period in which organisations share KV cache was not read or not written; it is tried again. Until the period is known, a new configuration begins with nothing kept.", []Key{{"write", "whether this node was to write it"}, keyErr}},
	{"record of shared cache can't be decoded, replaced by the next one", Failure, "The row with the record of the period in which organisations share KV cache is invalid; a new period begins.", []Key{keyPosition, keyErr}},
	{"upstream listed", Change, "The list of upstreams has a new replica or a new start of one, or whether the replica drains has changed.", []Key{
		keyUpstream, keyService,
		{"addr", "its address"},
		{"draining", "whether it drains"},
		{"started", "when it started, by its own clock; the year 1 if unknown"},
		{"cold", "nanoseconds for which its row says that it is cold"},
		{"restarted", "whether it has restarted under the same ID"},
	}},
	{"upstream listed again, not used yet", Change, "The platform's store has come back from a copy that lists a replica whose row had gone. The replica is used once it has written its row again, or if the row stays.", []Key{
		keyUpstream, keyService,
		{"position", "that of the row"},
		{"left", "nanoseconds since its row had gone"},
	}},
	{"upstream list received", Change, "The list of upstreams was read for the first time; its replicas are not logged one by one.", []Key{
		{"rows", "how many rows it has"},
		{"upstreams", "how many of them name a replica"},
	}},
	{"roll-out ordered", Change, "Operators have ordered a version of a service's software to be rolled out.", []Key{
		keyService, keySoftware, {"duration", "nanoseconds in which it is to be completed"}, keyPosition,
	}},
	{"roll-out advanced", Change, "Another share of the requests goes to the new version, or the roll-out has ended.", []Key{
		keyService, keySoftware,
		{"stage", "the stage, -1 if the new version gets no requests"},
		{"share", "the share of the requests that it gets"},
		{"state", "running, completed or rolled back"},
		{"why", "what decided that"},
	}},
	{"roll-out halted", Failure, "The new version is bad and gets no more requests; the roll-back is to be agreed.", []Key{
		keyService, keySoftware, {"why", "what was seen of both versions"},
	}},
	{"state of roll-out not read", Failure, "The state of a roll-out could not be read from the platform's store; it is tried again.", []Key{keyService, keyErr}},
	{"state of roll-out not written", Failure, "The state of a roll-out could not be written to the platform's store; it is tried again.", []Key{
		keyService, {"state", "running, completed or rolled back"}, keyErr,
	}},
	{"state of roll-out written again", Change, "The store had lost the final state of a roll-out with an era.", []Key{
		keyService, keySoftware, {"state", "completed or rolled back"}, keyErr,
	}},
	{"state of roll-out can't be decoded", Failure, "The row with the state of a roll-out is invalid; it is written anew.", []Key{keyService, keyErr}},
	{"upstream dropped", Change, "The list no longer has a replica.", []Key{
		keyUpstream, keyService, {"missing", "nanoseconds for which the node waited for its entry to return after an outage of the store"},
	}},
	{"upstream row invalid, ignored", Failure, "An entry of the list is invalid; the replica is not used, whatever its earlier entries said.", []Key{keyRow, keyPosition, keyErr}},
	{"data hall evacuated", Change, "Operators have evacuated a data hall: it gets no more requests.", []Key{
		keyHall, keyPosition,
		{"at_once", "true if this node may have heard of it late and leaves all replicas at once, false if it leaves them one after the other"},
	}},
	{"data hall evacuated, says another node", Change, "The store has come back from a copy that may lack the evacuation; it ends if the operators don't write it again.", []Key{keyHall}},
	{"data hall evacuation ended", Change, "The data hall may get requests again.", []Key{
		keyHall, keyPosition, {"after", "nanoseconds since the evacuation is taken to have begun"},
	}},
	{"evacuation of unknown data hall ignored", Failure, "A row evacuates a data hall that is not configured.", []Key{keyHall, keyPosition}},
	{"store lost", Failure, "Calls to the platform's store fail.", []Key{keyTable, keyPosition, keyErr}},
	{"store back", Change, "Calls to the platform's store succeed again.", []Key{keyTable, keyPosition, keyAway}},
	{"store was reached by other nodes", Change, "This node reads the list of replicas again, and others did so all the time or earlier: entries that are missing are not waited for as long.", []Key{
		{"earlier", "nanoseconds"}, {"missing", "how many replicas were waited for"},
	}},
	{"store not reached, other nodes are asked", Failure, "This node's own calls to the platform's store fail; it gets changes from other nodes.", []Key{keyTable, keyErr}},
	{"store reached again", Change, "This node's own calls to the platform's store succeed again.", []Key{keyTable, keyAway, {"asked", "how often other nodes were asked meanwhile"}}},
	{"state for the start not learned", Failure, "A node that starts could not ask another one what it can't learn from a store that has come back from a copy: leaving replicas, evacuations, roll-outs.", []Key{keyPeer, keyErr}},
	{"newer rows not asked for", Change, "A node that starts could not ask another one for newer rows than the store's, as when all nodes start.", []Key{keyTable, keyPeer, keyErr}},
	{"newer row taken from peer", Change, "The store has come back from a copy with an older content of a row than another node has.", []Key{
		keyTable, keyRow, keyPeer,
	}},
	{"era of store began", Change, "The platform's store has come back from an earlier copy of itself, or this node hears of it for the first time.", []Key{
		{"from", "the era before"},
		{"to", "the era that began"},
		{"first", "whether this node knew no era before"},
		{"config", "the version of the configuration in force"},
		{"list_age", "nanoseconds since the list of replicas was last read"},
	}},
	{"era of store learned", Change, "A node that starts has learned from another one that the platform's store has come back from an earlier copy, and when.", []Key{
		{"era", "the current era"},
		{"age", "nanoseconds since the other node heard of it"},
	}},
	{"table listed in a new era", Change, "The first listing of a table since the platform's store came back from a copy.", []Key{
		keyTable,
		{"before", "the position of the copy that this node had"},
		keyPosition,
		{"rows", "how many rows it has now"},
		{"differ", "how many of them have another value than before, or were not there"},
		{"missing", "how many rows of before are not there"},
		{"carried", "how many rows are kept with newer contents than the store's"},
	}},
	{"operator rows received", Change, "Rows of the operator's table were received.", []Key{
		keyPosition,
		{"rows", "how many"},
		{"bytes", "size of their values"},
		{"by", "the source: store, or the other node's address"},
		{"after", "nanoseconds since the request for them, including the wait for a change"},
	}},
	{"table read through peer failed", Failure, "A node that reads a table for this one failed; another node, or the store, is used for a while.", []Key{
		keyTable, keyPeer, {"after", "nanoseconds since the call began"}, keyErr,
	}},
	{"row not encoded for peers", Failure, "A changed row could not be encoded for other nodes; they read it from the store.", []Key{keyRow, keyPosition, keyErr}},
	{"store read for peer failed", Failure, "Another node asked for a table of which this node had no recent copy, and this node could not read the store.", []Key{keyTable, keyErr}},
	{"store of kept state lost", Failure, "The events of a KV cache store can't be read; the store is not used.", []Key{keyStore, keyErr}},
	{"store of kept state back", Change, "The events of a KV cache store can be read again.", []Key{keyStore, keyBoot, keyAway}},
	{"engine event stream lost", Failure, "The events of an engine can't be read; what its KV cache holds is estimated, and nothing is fetched from it.", []Key{keyReplica, keyErr}},
	{"engine event stream restored", Change, "The events of an engine can be read again.", []Key{keyReplica, keyBoot}},
	{"engine cache updates from peer lost", Failure, "The node that informs this one of what the engines' KV caches hold does not answer.", []Key{keyPeer, keyErr}},
	{"engine cache updates from peer restored", Change, "The node that informs this one of what the engines' KV caches hold answers again.", []Key{keyPeer}},
	{"engine cache update from peer can't be decoded", Failure, "Another node's update on what an engine's KV cache holds is invalid; it is ignored.", []Key{keyErr}},
	{"parts freed", Change, "Parts were freed that no request may use any more: newer weights were named, another period of shared cache has begun, or their organisation is no longer isolated.", []Key{keyStore, keyParts, keyBoot}},
	{"parts not freed", Failure, "A KV cache store did not free parts; the call is retried.", []Key{keyStore, keyParts, keyErr}},

	{"lease acquired", Change, "This node may give orders to a group of replicas.", []Key{keyLease, keyFence, keyPosition}},
	{"lease not read", Failure, "A lease could not be read; the read is retried.", []Key{keyErr}},
	{"lease not written", Failure, "A lease could not be written; it is not extended.", []Key{keyErr}},
	{"lease row can't be decoded", Failure, "A lease's row is invalid.", []Key{keyErr}},
	{"order given", Change, "A replica was ordered to change its weights.", []Key{
		keyReplica, keyModel, keyVersion, keyFence,
		{"orders", "orders that the replica had accepted before"},
		{"outcome", "0 unknown, 1 accepted, 2 the replica already has the weights, 3 refused, 4 not understood"},
		keyErr,
	}},
	{"replica serves new weights", Change, "A replica reported that it serves its new weights.", []Key{keyReplica, keyModel, keyVersion}},
	{"replica state not read", Failure, "A call for a replica's state failed.", []Key{keyReplica, keyErr}},
	{"replica not swapped in time", Failure, "A replica did not report its new weights in time; the order is retried.", []Key{keyReplica, keyModel, keyVersion}},

	{"mechanisms disabled", Change, "The settings disable mechanisms of the routing decisions, which is for measurements only.", []Key{
		keyNode,
		{"without", "the settings' names of the disabled mechanisms"},
	}},
	{"node started", Change, "The process is serving.", []Key{
		keyNode, {"entry", "address for client requests"}, {"directory", "address at which clients ask which node to use"}, {"peer", "address for other nodes"}, keyStore,
	}},
	{"stopping", Change, "The process received a stop signal.", []Key{keyNode, keyInFlight}},
	{"requests cut by a stop", Failure, "The stopping node closed connections that carried requests.", []Key{
		keyNode, keySinceStop,
		{"heading", "requests whose head was being read"},
		{"bodying", "requests whose body was being read"},
		{"serving", "requests that were being served"},
	}},
	{"node stopped", Change, "The process has shut down.", []Key{keyNode, keySinceStop, {"cut", "requests that were cut by the stop"}}},
	{"settings reload requested", Change, "A signal asks to read the settings file again.", []Key{keyFile}},
	{"settings in force", Change, "Changed settings were put in force.", []Key{
		keyNode, {"retry_share", "retries allowed per request"}, {"grace", "nanoseconds between the signal to stop and the kill"},
	}},
	{"settings not usable, those in force stay", Failure, "The settings file is invalid; the previous settings stay in force.", []Key{keyFile, keyErr}},
	{"changed addresses hold only after a restart", Failure, "The settings name addresses other than those in use.", []Key{keyNode}},
	{"nodes not read", Failure, "This node could not read the list of nodes; it retries.", []Key{keyErr}},
	{"nodes read again", Change, "This node has read the list of nodes again.", []Key{keyAway}},
	{"nodes of the data hall not listed", Failure, "A node that starts could not list the nodes of its data hall.", []Key{keyHall, keyErr}},
	{"node row is missing, to be written again", Change, "The list of nodes lacks this node's row, or has an earlier one.", []Key{keyNode}},
	{"node row not encoded", Failure, "This node's row could not be encoded.", []Key{keyNode, keyErr}},
	{"node row not written", Failure, "This node could not write its address to the store; it retries.", []Key{
		keyNode, {"retry_after", "nanoseconds until it retries"}, keyErr,
	}},
	{"node row can't be decoded", Failure, "The row with another node's address is invalid.", []Key{keyRow, keyErr}},
	{"notification not sent", Failure, "A notification to other nodes could not be encoded.", []Key{{"method", "the notification's method"}, keyErr}},
	{"auxiliary HTTP server failed", Failure, "A listener other than the one for requests failed.", []Key{keyErr}},
	{"accept failed", Failure, "A listener could not accept a connection, most often for lack of file descriptors; it retries.", []Key{
		{"listen", "the listener's address"}, keyErr,
	}},
	{"request listener failed", Failure, "The listener for requests failed; no new connections are accepted.", []Key{keyErr}},
	{"log lines dropped", Failure, "Log lines were dropped since the last line of this kind, counted by class.", []Key{
		{"routine", "lines of class routine"}, {"change", "lines of class change"}, {"failure", "lines of class failure"},
	}},
}

// Reasons explains the values of "reason".
var Reasons = []Key{
	{"no_configuration", "the node has just started and has no configuration yet (503)"},
	{"no_route", "no route has this host and path (404)"},
	{"unknown_key", "no organisation has this API key (401)"},
	{"bad_request", "the request is malformed or has no ID (400)"},
	{"too_large", "the body exceeds the limit (413)"},
	{"head_too_large", "the head exceeds the limit (431)"},
	{"too_slow", "the head or body was not received in time (408)"},
	{"no_replica", "no replica of the service may be used (503)"},
	{"cold", "the replicas that may be used are cold, or assumed to be, and this node's share of them is used up (503)"},
	{"brittle", "the replicas that may be used are brittle, and this node's share of their slots is used up (503)"},
	{"limited", "the replicas that may be used have named a limit of requests per second, and it is used up (503)"},
	{"evacuated", "the replicas that may be used are in evacuated data halls (503)"},
	{"outside_homes", "no replica is in a region in which the request may run (503)"},
	{"draining", "the replicas of the service are about to end (503)"},
	{"backoff", "the replicas that may be used have asked this node to send them nothing for a while (503)"},
	{"replicas_full", "the replicas that were tried refused (503)"},
	{"unreachable", "no connection could be made to any of the replicas that were tried (503)"},
	{"overloaded", "the prompt would wait too long in this node's queue (503)"},
	{"service_overloaded", "by the loads of all nodes, prompts of its priority would wait longer than the client does (503)"},
	{"deadline", "the deadline has passed: 503 if nothing was sent, 504 if the request may have run"},
	{"answer_lost", "the answer was lost and the request may have run (502)"},
	{"weights_replaced", "the engine did not begin the prompt before its weights were too old, and it may have begun meanwhile (502)"},
	{"stream_unknown", "it is not known at which version of the software the stream began that the client takes up, so it can't go on; the client must begin anew, without Last-Event-Id (412)"},
	{"stream_gone", "no replica that may be used has the version of the software that began the stream that the client takes up; the client must begin anew, without Last-Event-Id (412)"},
	{"stream_unreachable", "the same as stream_unknown, but other nodes may know, which this one does not reach (503)"},
	{"software_unlisted", "the versions of the replicas' software are not listed in the platform's store yet, so streams can't begin there (503)"},
	{"request_bytes", "this node's share of the bytes of requests that the replicas may hold is used up (503)"},
	{"response_memory", "the response waited at its replica for memory of the node until the connection ended; the request has run (502)"},
	{"ends_replicas", "replicas have ended under the request's content, or under the part of its prompt that the answer names; it was not sent (400), or not again (502)"},
	{"stopping", "the node stops: the request would not be answered within the grace period, so it was not sent (503), or it was not by its end (504)"},
	{"suspended", "the node's machine was suspended, and the node has not refreshed its state yet (503)"},
	{"suspected", "replicas have ended under the request's content or a part of its prompt, and another such request is running; retry later (503)"},
}
