/** Dispatch of messages to one handler per message type. */
import type { Instance } from './messages.ts'

interface AnyMessage {
  case: string
  value: unknown
}

/** One handler per `case`, called with the sender, the content and the time. */
export type MessageHandlers<Message extends AnyMessage> = {
  [Case in Message['case']]: (from: Instance, value: Extract<Message, { case: Case }>['value'], now: number) => void
}

export function handleMessage<Message extends AnyMessage> (handlers: MessageHandlers<Message>, from: Instance, message: Message, now: number): void {
  const handler = handlers[message.case as Message['case']] as (from: Instance, value: unknown, now: number) => void
  handler(from, message.value, now)
}
