// SPDX-License-Identifier: Apache-2.0

package quarantine

// Part is a part of a prompt that several requests may share, such as a system prompt or a document.
type Part struct {
	id     string
	own    Fingerprint
	common Fingerprint
}

// ID returns the ID that the caller or the protocol gave the part.
func (p Part) ID() string { return p.id }

// Own identifies the part as sent by one organisation. It does not depend on the route, the model or the adapter.
func (p Part) Own() Fingerprint { return p.own }

// Common identifies the part whichever organisation sent it.
func (p Part) Common() Fingerprint { return p.common }

// The first field of the data that fingerprints of parts are made of. Those of requests begin with a method.
const (
	ownPart    = "prompt part"
	commonPart = "prompt part of any organisation"
)

// NewParts returns the shared parts of a prompt, each once. ids are those of all its parts in order; the last one belongs
// to a single request or session, so it is not shared. The organisation is empty for public routes.
func NewParts(organisation string, ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}
	parts := make([]Part, 0, len(ids)-1)
	seen := make(map[string]bool, len(ids)-1)
	for _, id := range ids[:len(ids)-1] {
		if !seen[id] {
			seen[id] = true
			parts = append(parts, Part{
				id:     id,
				own:    NewFingerprint(ownPart, "", "", organisation, []byte(id)),
				common: NewFingerprint(commonPart, "", "", "", []byte(id)),
			})
		}
	}
	return parts
}

// PartIDs returns the IDs of parts, for a log line.
func PartIDs(parts []Part) []string {
	ids := make([]string, 0, min(len(parts), maxPerLogLine))
	for _, p := range parts[:min(len(parts), maxPerLogLine)] {
		ids = append(ids, p.id)
	}
	return ids
}

// Suspect is a request whose response was interrupted.
type Suspect struct {
	Content Fingerprint
	Service string // that the request was for
	Parts   []Part // shared ones of its prompt; none if the endpoint had begun to respond
}

// SuspectParts returns the parts of all suspects, each once.
func SuspectParts(suspects []Suspect) []Part {
	var parts []Part
	seen := make(map[Fingerprint]bool) // a caller may state many parts
	for _, s := range suspects {
		for _, p := range s.Parts {
			if !seen[p.own] {
				seen[p.own] = true
				parts = append(parts, p)
			}
		}
	}
	return parts
}
