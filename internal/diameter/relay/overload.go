package relay

import (
	"encoding/binary"

	"lemonrail/internal/diameter"
	"lemonrail/internal/diameter/overload"
)

const (
	lossAlgorithm = 1 // the bit of the default one in OC-Feature-Vector
	realmReport   = 1 // OC-Report-Type: any server of the realm, as a relay picks it
)

// Heeds reports whether the sender of a request takes reports of overload, of the loss algorithm. A request that
// names no features means that one (RFC 7683, 7.2).
func Heeds(m *diameter.Message) bool {
	a := diameter.Find(m.AVPs, diameter.CodeOCSupportedFeatures, 0)
	if a == nil {
		return false
	}
	list, err := a.Group(diameter.DefaultLimits(), 0)
	if err != nil {
		return false
	}
	v := diameter.Find(list, diameter.CodeOCFeatureVector, 0)
	if v == nil {
		return true
	}
	bits, err := v.Uint64()
	return err == nil && bits&lossAlgorithm != 0
}

// soft clears the M bit: who doesn't know these AVPs may pass over them (RFC 7683, 7.8).
func soft(list ...diameter.AVP) []diameter.AVP {
	for i := range list {
		list[i] = diameter.Optional(list[i])
	}
	return list
}

// Reported puts a report into a whole answer to a request whose sender heeds it. An answer that already says what
// its server supports stays as it is: the server speaks for itself.
func Reported(answer []byte, r overload.Report) []byte {
	limits := diameter.DefaultLimits()
	m, err := diameter.Decode(answer, limits)
	if err != nil || diameter.Find(m.AVPs, diameter.CodeOCSupportedFeatures, 0) != nil {
		return answer
	}
	more := diameter.AppendAVPs(nil, soft(
		diameter.Group(diameter.CodeOCSupportedFeatures, soft(diameter.U64(diameter.CodeOCFeatureVector, lossAlgorithm))...),
		diameter.Group(diameter.CodeOCOLR, soft(diameter.U64(diameter.CodeOCSequenceNumber, r.Sequence), diameter.U32(diameter.CodeOCReportType, realmReport),
			diameter.U32(diameter.CodeOCReduction, r.Reduction), diameter.U32(diameter.CodeOCValidityDuration, r.Validity))...)))
	if len(answer)+len(more) > limits.Message {
		return answer // the client could not read it
	}
	out := append(append(make([]byte, 0, len(answer)+len(more)), answer...), more...)
	binary.BigEndian.PutUint32(out, binary.BigEndian.Uint32(out)&0xff000000|uint32(len(out)))
	return out
}
