package peerpb_test

import (
	"context"
	"testing"

	"github.com/bufbuild/protocompile"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"

	"github.com/bronzeloft/bronzeloft/link/peerpb"
)

func TestPeerpb(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peerpb")
}

var _ = Describe("the generated code", func() {
	It("matches peer.proto", func() {
		c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}}
		files, err := c.Compile(context.Background(), "peer.proto")
		Expect(err).NotTo(HaveOccurred())
		want := protodesc.ToFileDescriptorProto(files[0])
		got := protodesc.ToFileDescriptorProto(peerpb.File_peer_proto)
		Expect(proto.Equal(got, want)).To(BeTrue(), "run go generate ./link/peerpb")
	})
})
