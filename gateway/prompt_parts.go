// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"cairnwick.example/quarantine"
)

const (
	// promptBlock is the length of the blocks of a prompt, in bytes, at whose ends a beginning may be shared with others.
	promptBlock     = 512
	maxPromptBlocks = 16
	partDigestBytes = 8
	requestOnly     = "the rest of the prompt"
)

// promptParts returns the IDs of the parts of a request's prompt in order; the last one belongs to the request alone. The
// parts of a chat are its messages but the last, those of a prompt its beginnings up to the end of each block. Both also
// have the whole prompt: requests that differ in nothing else, such as the model or a limit, have it in common.
func promptParts(body map[string]json.RawMessage) []string {
	var messages []any
	if json.Unmarshal(body["messages"], &messages) == nil && len(messages) > 0 {
		return chatParts(messages)
	}
	var prompt string
	if json.Unmarshal(body["prompt"], &prompt) != nil {
		return nil
	}
	var ids []string
	for n := 1; n <= maxPromptBlocks && n*promptBlock < len(prompt); n++ {
		ids = append(ids, "beginning "+strconv.Itoa(n)+" "+partDigest([]byte(prompt[:n*promptBlock])))
	}
	return append(ids, "prompt "+partDigest([]byte(prompt)), requestOnly)
}

func chatParts(messages []any) []string {
	ids := make([]string, 0, len(messages)+1)
	for _, m := range messages[:len(messages)-1] {
		ids = append(ids, "message "+canonicalDigest(m))
	}
	return append(ids, "prompt "+canonicalDigest(messages), requestOnly)
}

// canonicalDigest returns the digest of a decoded JSON value, whose fields are sorted.
func canonicalDigest(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return "" // a decoded value can be encoded
	}
	return partDigest(b)
}

func partDigest(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:partDigestBytes])
}

// suspect describes the request for the termination detector.
func (q *request) suspect() quarantine.Suspect {
	s := quarantine.Suspect{Content: q.content, Service: modelService}
	if !q.responseBegan {
		s.Parts = q.parts
	}
	return s
}
