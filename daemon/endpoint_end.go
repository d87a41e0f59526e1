// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"cairnwick.example/quarantine"
	"cairnwick.example/wire"
)

// EncodeTermination converts the end of an endpoint for a message to another daemon.
func EncodeTermination(t quarantine.Termination) *wire.EndpointEnd {
	return &wire.EndpointEnd{
		Endpoint:    t.Endpoint,
		Contents:    quarantine.Encode(t.Requests),
		Parts:       quarantine.Encode(t.Parts),
		CommonParts: quarantine.Encode(t.CommonParts),
		OthersBegan: t.OthersBegan,
	}
}

// DecodeTermination converts the end of an endpoint from a message of another daemon. Invalid fingerprints are skipped.
func DecodeTermination(e *wire.EndpointEnd) quarantine.Termination {
	return quarantine.Termination{
		Endpoint:    e.GetEndpoint(),
		Requests:    quarantine.Decode(e.GetContents()),
		Parts:       quarantine.Decode(e.GetParts()),
		CommonParts: quarantine.Decode(e.GetCommonParts()),
		OthersBegan: e.GetOthersBegan(),
	}
}
