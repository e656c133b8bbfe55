/** Reporter that writes the name of each failed test, one a line. */
export default async function * failures (events) {
  for await (const event of events) {
    if (event.type !== 'test:fail') continue
    if (event.data.details?.type === 'suite') continue
    yield `${event.data.name}\n`
  }
}
