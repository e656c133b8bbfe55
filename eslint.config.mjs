import neostandard from 'neostandard'

export default neostandard({
  ts: true,
  noJsx: true,
  ignores: ['dist/**', 'target/**', 'report/**', 'packages/protocol/src/*_pb.ts']
})
